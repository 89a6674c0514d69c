/**
 * Limits the log lines about announcements that can't be read to one for each endpoint and change.
 */

/** The endpoint that was added first is forgotten first. */
const MAXIMUM_ENTRIES = 4096;

/** Remembers the last unreadable announcement of each endpoint. */
export class UnreadableAnnouncements {
  private readonly lastByEndpoint = new Map<string, string>();

  /** Returns whether the endpoint's last unreadable announcement was another one. */
  record(endpoint: string, header: string): boolean {
    if (this.lastByEndpoint.get(endpoint) === header) {
      return false;
    }
    this.lastByEndpoint.set(endpoint, header);
    if (this.lastByEndpoint.size > MAXIMUM_ENTRIES) {
      this.lastByEndpoint.delete(this.lastByEndpoint.keys().next().value as string);
    }
    return true;
  }
}
