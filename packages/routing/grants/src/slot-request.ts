/**
 * The request for a slot that a dispatcher decides about.
 */

/** A request for a slot on an endpoint of the cell. */
export interface SlotRequest {
  /** Unique across the fleet. */
  readonly key: string;
  readonly entry: string;
  readonly zone: string;
  readonly route: string;
  readonly idempotent: boolean;
  readonly priority: number;
  /** Name of the caller's organisation; empty if it has none. */
  readonly organisation: string;
  readonly remaining: number;
  readonly target: number;
  /** Whether an earlier attempt may have reached an endpoint. */
  readonly repeated: boolean;
  /** Whether the entry can repeat the request after a failure, so that it may probe an endpoint. */
  readonly mayProbe: boolean;
  /** Milliseconds for which the request has already waited in other cells. */
  readonly waitedElsewhere: number;
  /** Size of the body. */
  readonly kilobytes: number;
  readonly fingerprint: string;
  readonly excluded: ReadonlySet<string>;
  /** Load above which the slot is refused, as it is if none is free at once; undefined if the request may wait. */
  readonly maximumLoad?: number | undefined;
}
