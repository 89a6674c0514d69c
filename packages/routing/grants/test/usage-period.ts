/**
 * Counts of requests in a period of a virtual fleet.
 */

/** Requests of an organisation. */
interface Served {
  /** Requests within the limit, as one exact bucket of rate and burst would count. */
  within: number;
  admitted: number;
}

/** The requests that arrived in a period, whenever they were decided. */
export class Period {
  messages = 0;

  requests = 0;

  /** Sum of the milliseconds until a decision. */
  waited = 0;

  readonly served = new Map<string, Served>();

  /** Share of requests within the limits that were not admitted. */
  get refusedShare(): number {
    let within = 0;
    let refused = 0;
    for (const served of this.served.values()) {
      within += served.within;
      refused += Math.max(0, served.within - served.admitted);
    }
    return within === 0 ? 0 : refused / within;
  }
}
