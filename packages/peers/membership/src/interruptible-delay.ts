/**
 * The delay between two rounds of a loop, which an event can interrupt.
 */

/** A delay that can be interrupted. */
export class InterruptibleDelay {
  private interruptWait: (() => void) | undefined;

  /** Resolves after the given time or at the next `interrupt`. */
  async wait(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.interruptWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Ends the current delay. */
  interrupt(): void {
    this.interruptWait?.();
  }
}
