/**
 * A request as a dispatcher sees it.
 */

/** A request for a slot. */
export interface SlotRequest {
  /** Unique in the fleet. */
  readonly key: string;
  readonly entry: string;
  readonly zone: string;
  readonly route: string;
  readonly idempotent: boolean;
  readonly priority: number;
  readonly remaining: number;
  readonly target: number;
  /** Whether an endpoint may have received the request before. */
  readonly repeated: boolean;
  /** Whether the dispatcher of another cell refused the request, which counted it. */
  readonly moved: boolean;
  /** Length of the body. */
  readonly kilobytes: number;
  readonly fingerprint: string;
  readonly excluded: ReadonlySet<string>;
}
