/**
 * The requests that wait for a slot of one service, most urgent first.
 */
import type { SlotRequest } from './slot-request.js';

/** One waiting request. */
export interface Waiter {
  readonly request: SlotRequest;
  readonly arrivedAt: number;
}

// A request that an endpoint failed has used a part of its time already.
function rank({ request }: Waiter): number {
  return request.repeated ? -1 : request.priority;
}

/** Orders requests by priority and arrival. */
export class WaitingQueue {
  private waiters: Waiter[] = [];

  get size(): number {
    return this.waiters.length;
  }

  /** Adds a request behind those of the same rank. */
  add(waiter: Waiter): void {
    let index = this.waiters.length;
    while (index > 0 && rank(this.waiters[index - 1] as Waiter) > rank(waiter)) {
      index -= 1;
    }
    this.waiters.splice(index, 0, waiter);
  }

  /** Removes the request with a key. */
  remove(key: string): void {
    this.waiters = this.waiters.filter(({ request }) => request.key !== key);
  }

  /** Removes and returns all requests. */
  clear(): Waiter[] {
    return this.waiters.splice(0);
  }

  /** Keeps the requests for which `mayStay` returns true, in their order. */
  retain(mayStay: (waiter: Waiter) => boolean): void {
    this.waiters = this.waiters.filter(mayStay);
  }

  /** Counts the requests that are as urgent as a priority or more. */
  countAhead(priority: number): number {
    let ahead = 0;
    for (const { request } of this.waiters) {
      ahead += request.priority <= priority ? 1 : 0;
    }
    return ahead;
  }

  /** Whether a request that could use any endpoint goes before the given one. */
  isAnyAhead({ priority, repeated }: SlotRequest): boolean {
    if (repeated) {
      return false;
    }
    return this.waiters.some(
      ({ request }) => request.priority <= priority && request.excluded.size === 0,
    );
  }
}
