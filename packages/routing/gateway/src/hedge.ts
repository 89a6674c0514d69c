/**
 * A second attempt of a request that is late, which runs beside the earlier one.
 */
import type { SlotRefusalReason } from './slots.js';

/** What became of a hedge. */
export type HedgeEvent =
  /** It was sent to an endpoint. */
  | 'started'
  /** It was answered first. */
  | 'won'
  /** The earlier attempt was answered first, or the request ended. */
  | 'cancelled'
  | 'failed'
  /** The request ended before the hedge was sent. */
  | 'not-needed'
  /** The share of hedges was used up. */
  | 'refused-share'
  /** The retry budget, or its part beyond the reserve, was used up. */
  | 'refused-budget'
  /** No slot was free, or the load of the cell was above the maximum. */
  | 'refused-load'
  /** There was no usable endpoint or dispatcher, or the time was too short. */
  | 'refused-slot';

const eventByRefusal: Readonly<Record<SlotRefusalReason, HedgeEvent>> = {
  overload: 'refused-load',
  'retry-budget': 'refused-budget',
  'no-endpoint': 'refused-slot',
  crashing: 'refused-slot',
  stopping: 'refused-slot',
};

/** A second attempt of a request. `refuse`, or `start` and then `end`, is called once. */
export class Hedge {
  constructor(
    /** Load above which a cell refuses the slot; undefined if it may also be waited for. */
    readonly maximumLoad: number | undefined,
    private readonly report: (event: HedgeEvent) => void,
    private readonly giveBack: () => void,
  ) {}

  /** Records that the hedge was not sent. */
  refuse(reason: SlotRefusalReason | 'expired' | 'not-needed'): void {
    this.giveBack();
    if (reason === 'not-needed') {
      this.report('not-needed');
    } else {
      this.report(reason === 'expired' ? 'refused-slot' : eventByRefusal[reason]);
    }
  }

  /** Records that the hedge is sent to an endpoint. */
  start(): void {
    this.report('started');
  }

  /** Records the end of a hedge that was sent; `arrived` is false if it certainly reached no endpoint. */
  end(event: 'won' | 'cancelled' | 'failed', arrived: boolean): void {
    if (!arrived) {
      this.giveBack();
    }
    this.report(event);
  }
}
