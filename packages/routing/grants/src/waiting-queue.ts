/**
 * The queue of requests that wait for a slot of one cell, ordered by priority.
 */
import type { SlotRequest } from './slot-request.js';

/** A request in the queue. */
export interface Waiter {
  readonly request: SlotRequest;
  readonly arrivedAt: number;
}

// Retries go first, because earlier attempts have used up part of their time.
function getRank({ request }: Waiter): number {
  return request.repeated ? -1 : request.priority;
}

/** A priority queue; requests of equal rank are kept in order of arrival. */
export class WaitingQueue {
  private waiters: Waiter[] = [];

  /** Requests that can't use the slots that are free, so that they must not delay those that can. */
  private readonly passing = new WeakSet<Waiter>();

  get size(): number {
    return this.waiters.length;
  }

  /** Inserts a request behind those of the same rank. */
  add(waiter: Waiter): void {
    let index = this.waiters.length;
    while (index > 0 && getRank(this.waiters[index - 1] as Waiter) > getRank(waiter)) {
      index -= 1;
    }
    this.waiters.splice(index, 0, waiter);
  }

  /** Sets whether free slots remain that a request can't use. */
  setPassing(waiter: Waiter, passesFreeSlots: boolean): void {
    if (passesFreeSlots) {
      this.passing.add(waiter);
    } else {
      this.passing.delete(waiter);
    }
  }

  /** Removes the request with the given key, if it is queued. */
  remove(key: string): void {
    this.waiters = this.waiters.filter(({ request }) => request.key !== key);
  }

  /** Empties the queue and returns its requests. */
  clear(): Waiter[] {
    return this.waiters.splice(0);
  }

  /** Keeps only the requests for which `shouldKeep` returns true; calls it in queue order. */
  retain(shouldKeep: (waiter: Waiter) => boolean): void {
    this.waiters = this.waiters.filter(shouldKeep);
  }

  /** Counts the requests whose priority is at least as urgent as the given one. */
  countAhead(priority: number): number {
    let ahead = 0;
    for (const { request } of this.waiters) {
      ahead += request.priority <= priority ? 1 : 0;
    }
    return ahead;
  }

  /**
   * Whether a queued request goes before the given one. Requests that can't use the free slots, because they exclude
   * endpoints or because their entry daemon does not reach them, don't count.
   */
  hasRequestAhead({ priority, repeated }: SlotRequest): boolean {
    if (repeated) {
      return false;
    }
    return this.waiters.some(
      (waiter) =>
        waiter.request.priority <= priority &&
        waiter.request.excluded.size === 0 &&
        !this.passing.has(waiter),
    );
  }
}
