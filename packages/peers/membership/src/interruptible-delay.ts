/**
 * The pause between two rounds of a loop, which an event may end early.
 */

/** A pause that can be ended. */
export class InterruptibleDelay {
  private interruptWait: (() => void) | undefined;

  /** Resolves after a time, or at the next `end`. */
  async wait(milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.interruptWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Ends the present pause. */
  interrupt(): void {
    this.interruptWait?.();
  }
}
