/**
 * The timer that runs the periodic work of a cell while requests are waiting or in flight.
 */
import type { Schedule } from './options.js';

/** Maximum time between two health evaluations while requests are in flight or waiting. */
const MAXIMUM_TICK_MILLISECONDS = 50;
const MINIMUM_TICK_MILLISECONDS = 1;

/** Calls a function once for each time it is armed. */
export class Ticker {
  private cancelTick: (() => void) | undefined;

  constructor(
    private readonly schedule: Schedule,
    private readonly tick: () => void,
  ) {}

  /** Arms the timer for the next expiry, in milliseconds from now; does nothing if already armed. */
  arm(untilExpiry: number): void {
    if (this.cancelTick !== undefined) {
      return;
    }
    const delay = Math.max(MINIMUM_TICK_MILLISECONDS, untilExpiry);
    this.cancelTick = this.schedule(
      () => {
        this.cancelTick = undefined;
        this.tick();
      },
      Math.min(MAXIMUM_TICK_MILLISECONDS, delay),
    );
  }

  /** Cancels the pending call, if any. */
  cancel(): void {
    this.cancelTick?.();
    this.cancelTick = undefined;
  }
}
