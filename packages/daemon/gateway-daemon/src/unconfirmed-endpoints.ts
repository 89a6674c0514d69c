/**
 * Endpoints that the store lists after it lost its latest changes, but that had left, were leaving or had started again
 * according to what this daemon knew. Their entries take effect when they are written again, or when the time has passed in
 * which that would have happened.
 */
import type { Endpoint } from '@dogwoodstall/traffic';
import { REREGISTRATION_MILLISECONDS } from './store-contact-tracker.js';

/** Whether an entry may be older than what was known of its endpoint when the store lost changes. */
export function mayBeOutdated(listed: Endpoint, known: Endpoint | undefined): boolean {
  return (
    known === undefined ||
    listed.lifetime < known.lifetime ||
    (listed.lifetime === known.lifetime && known.draining && !listed.draining)
  );
}

/** Whether two entries say the same of an endpoint, apart from how long it remains slow. */
export function isSameEndpoint(left: Endpoint, right: Endpoint): boolean {
  return (
    left.lifetime === right.lifetime &&
    left.address === right.address &&
    left.service === right.service &&
    left.draining === right.draining &&
    left.slots === right.slots &&
    left.zone === right.zone
  );
}

/** The unconfirmed endpoints of one directory. */
export class UnconfirmedEndpoints {
  private readonly endpoints = new Map<string, Endpoint>();

  private timer: NodeJS.Timeout | undefined;

  /** `onEnd` is called with the endpoints that were not written again in time. */
  constructor(private readonly onEnd: (endpoints: readonly Endpoint[]) => void) {}

  /** Adds an endpoint; it is held for as long as those added before, if there are any. */
  add(endpoint: Endpoint): void {
    this.endpoints.set(endpoint.id, endpoint);
    this.timer ??= setTimeout(() => this.end(), REREGISTRATION_MILLISECONDS);
  }

  /** Removes an endpoint, whose entry was written again or removed. */
  delete(id: string): void {
    this.endpoints.delete(id);
  }

  /** Forgets all endpoints. */
  clear(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.endpoints.clear();
  }

  has(id: string): boolean {
    return this.endpoints.has(id);
  }

  /** Whether the endpoint is held with the same entry, which therefore was not written again. */
  holds(endpoint: Endpoint): boolean {
    const held = this.endpoints.get(endpoint.id);
    return held !== undefined && isSameEndpoint(held, endpoint);
  }

  list(): readonly Endpoint[] {
    return [...this.endpoints.values()];
  }

  private end(): void {
    const endpoints = this.list();
    this.clear();
    if (endpoints.length > 0) {
      this.onEnd(endpoints);
    }
  }
}
