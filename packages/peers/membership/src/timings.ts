/**
 * The intervals of the membership protocol.
 */

/** Intervals in milliseconds. */
export interface MembershipTimings {
  readonly probeInterval: number;
  readonly probeTimeout: number;
  readonly indirectTimeout: number;
  /** From suspicion to failed, at the daemon that suspects. */
  readonly suspicion: number;
  /** Between two tries of failed members; after a success the next try follows at once. */
  readonly failedRetry: number;
  /** Between two tries of machines that are listed but not known as members. */
  readonly listedRetry: number;
}

/** The intervals of production. */
export const defaultTimings: MembershipTimings = {
  probeInterval: 500,
  probeTimeout: 300,
  indirectTimeout: 600,
  suspicion: 1500,
  failedRetry: 5000,
  listedRetry: 2000,
};
