/**
 * The intervals of the membership protocol.
 */

/** Intervals in milliseconds. */
export interface MembershipTimings {
  readonly probeInterval: number;
  readonly probeTimeout: number;
  readonly indirectTimeout: number;
  /** From suspicion to failure, at the suspecting daemon. */
  readonly suspicion: number;
  /** Between two probes of failed members; after a success the next one follows immediately. */
  readonly failedRetry: number;
  /** Between two probes of listed VMs that are not known as members. */
  readonly listedRetry: number;
}

/** The default intervals, used in production. */
export const defaultTimings: MembershipTimings = {
  probeInterval: 500,
  probeTimeout: 300,
  indirectTimeout: 600,
  suspicion: 1500,
  failedRetry: 5000,
  listedRetry: 2000,
};
