/**
 * What a daemon knows of another one that it pings.
 */

/** State of the pings to a daemon. */
export interface Contact {
  /** Time at which the pending ping was sent; undefined when there is none. */
  pendingSince: number | undefined;
  lastPingAt: number;
  /** Whether the daemon responds and is not stopping. */
  responsive: boolean;
  /** Whether the daemon knows enough to dispatch. */
  settled: boolean;
  /** Whether a ping was answered, or not answered in time. */
  known: boolean;
}

/** Creates the state of a daemon that was not pinged yet. */
export function createContact(): Contact {
  return {
    pendingSince: undefined,
    lastPingAt: -Infinity,
    responsive: false,
    settled: false,
    known: false,
  };
}

/**
 * Returns by how much a candidate that can't be used changes the number of others that may be pinged for the first time:
 * -1 if it was not pinged yet, 1 if it is known as unresponsive.
 */
export function countFirstPings(contact: Contact | undefined): number {
  if (contact?.known !== true) {
    return -1;
  }
  return contact.responsive ? 0 : 1;
}
