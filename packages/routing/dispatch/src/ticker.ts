/**
 * The timer of one cell: evaluates health and looks for expired requests while there is work.
 */
import type { Schedule } from './options.js';

/** Longest time between two evaluations of health while requests are in flight or waiting. */
const TICK_MILLISECONDS = 50;
const MINIMUM_TICK_MILLISECONDS = 1;

/** Calls a function once after each `arm`. */
export class Ticker {
  private cancelTick: (() => void) | undefined;

  constructor(
    private readonly schedule: Schedule,
    private readonly tick: () => void,
  ) {}

  /** Arms the timer for the next expiry, in milliseconds from now, unless it is armed. */
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
      Math.min(TICK_MILLISECONDS, delay),
    );
  }

  cancel(): void {
    this.cancelTick?.();
    this.cancelTick = undefined;
  }
}
