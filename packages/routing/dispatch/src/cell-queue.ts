/**
 * All waiting requests of a cell: a fair queue for each priority and size class, the parked requests
 * and a heap of the deadlines.
 */
import type { SizeClass } from '@dogwoodstall/model';
import { DeadlineHeap } from './deadline-heap.js';
import { FairQueue, type FindWeight } from './fair-queue.js';
import type { Waiter } from './waiter.js';

/** Contracts assign priorities from 0 to 3. */
const PRIORITY_COUNT = 4;

interface PriorityQueues {
  readonly short: FairQueue;
  readonly long: FairQueue;
}

/** The waiting requests of a cell. */
export class CellQueue {
  private readonly priorities: PriorityQueues[] = [];

  private readonly deadlines = new DeadlineHeap();

  /** Requests that reached the head of their queue while every free endpoint was excluded for them. */
  readonly parked = new Set<Waiter>();

  constructor(findWeight: FindWeight) {
    for (let priority = 0; priority < PRIORITY_COUNT; priority += 1) {
      this.priorities.push({ short: new FairQueue(findWeight), long: new FairQueue(findWeight) });
    }
  }

  /** Returns the number of queued requests of a size class, without the parked ones. */
  count(sizeClass: SizeClass): number {
    let count = 0;
    for (const queues of this.priorities) {
      count += queues[sizeClass].length;
    }
    return count;
  }

  /** Number of waiting requests, including the parked ones. */
  get size(): number {
    return this.count('short') + this.count('long') + this.parked.size;
  }

  /** Estimates how many requests of the same size class will be served before a new request. */
  countAhead(priority: number, sizeClass: SizeClass, organisation: string): number {
    let count = 0;
    for (const [index, queues] of this.priorities.entries()) {
      if (index < priority) {
        count += queues[sizeClass].length;
      }
    }
    return count + (this.priorities[priority]?.[sizeClass].countAhead(organisation) ?? 0);
  }

  /** Adds a request to the queue of its priority and size class. */
  enqueue(waiter: Waiter): void {
    this.findQueue(waiter).enqueue(waiter);
    this.deadlines.push(waiter);
  }

  /** Removes a request that gets a slot and charges it to its organisation's share. */
  dequeue(waiter: Waiter): void {
    if (!this.parked.delete(waiter)) {
      this.findQueue(waiter).dequeue(waiter);
    }
    this.deadlines.remove(waiter);
  }

  /** Removes a request that is refused, without charging it to its organisation's share. */
  remove(waiter: Waiter): void {
    if (!this.parked.delete(waiter)) {
      this.findQueue(waiter).remove(waiter);
    }
    this.deadlines.remove(waiter);
  }

  /** Sets a request aside until an endpoint that is not excluded for it has a free slot. */
  park(waiter: Waiter): void {
    this.findQueue(waiter).dequeue(waiter);
    this.parked.add(waiter);
  }

  /**
   * Yields the requests that can no longer meet their deadlines. The consumer must remove each one
   * before it asks for the next.
   */
  *listExpired(now: number): Generator<Waiter> {
    let waiter = this.deadlines.peek();
    while (waiter !== undefined && waiter.latestStartAt < now) {
      yield waiter;
      waiter = this.deadlines.peek();
    }
  }

  /** Time at which the next request expires; infinity if none waits. */
  get nextExpiryAt(): number {
    return this.deadlines.peek()?.latestStartAt ?? Infinity;
  }

  /**
   * Returns the next request to serve, without removing it. If the best priority has both short and
   * long requests, the one that was queued first is chosen.
   */
  peek(longAllowed: boolean): Waiter | undefined {
    for (const queues of this.priorities) {
      const short = queues.short.peek();
      const long = longAllowed ? queues.long.peek() : undefined;
      if (short === undefined || long === undefined) {
        if (short !== undefined || long !== undefined) {
          return short ?? long;
        }
      } else {
        return long.enteredAt < short.enteredAt ? long : short;
      }
    }
    return undefined;
  }

  /** Returns the next long request of the highest priority, without removing it. */
  peekLong(): Waiter | undefined {
    for (const queues of this.priorities) {
      const long = queues.long.peek();
      if (long !== undefined) {
        return long;
      }
    }
    return undefined;
  }

  /**
   * Finds a request to evict in favour of a new one when the queue is full: a request of the lowest
   * priority below that of the new one, or else a request of the same priority and size class whose
   * organisation has at least two more waiting requests. Each organisation loses its newest request
   * first.
   */
  findEvictable(priority: number, sizeClass: SizeClass, organisation: string): Waiter | undefined {
    for (let index = PRIORITY_COUNT - 1; index > priority; index -= 1) {
      const queues = this.priorities[index];
      const found = queues?.short.findEvictable() ?? queues?.long.findEvictable();
      if (found !== undefined) {
        return found;
      }
    }
    const queue = this.priorities[priority]?.[sizeClass];
    const found = queue?.findEvictable();
    if (queue === undefined || found === undefined) {
      return undefined;
    }
    const longestLength = queue.lengthOf(found.request.organisation);
    return longestLength > queue.lengthOf(organisation) + 1 ? found : undefined;
  }

  private findQueue(waiter: Waiter): FairQueue {
    const index = Math.min(PRIORITY_COUNT - 1, Math.max(0, waiter.request.priority));
    return (this.priorities[index] as PriorityQueues)[waiter.request.sizeClass];
  }
}
