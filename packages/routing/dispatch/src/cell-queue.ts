/**
 * All waiting requests of a cell: a fair queue for each priority and size class, the requests that
 * wait for an endpoint they may use, and the heap of deadlines.
 */
import type { SizeClass } from '@dogwoodstall/model';
import { DeadlineHeap } from './deadline-heap.js';
import { FairQueue, type FindWeight } from './fair-queue.js';
import type { Waiter } from './waiter.js';

/** Priorities of the contracts are 0 to 3. */
const PRIORITIES = 4;

interface PriorityQueues {
  readonly short: FairQueue;
  readonly long: FairQueue;
}

/** The waiting requests of a cell. */
export class WaitingRoom {
  private readonly priorities: PriorityQueues[] = [];

  private readonly deadlines = new DeadlineHeap();

  /** Requests for which every endpoint with a free slot is excluded. */
  readonly parked = new Set<Waiter>();

  constructor(findWeight: FindWeight) {
    for (let priority = 0; priority < PRIORITIES; priority += 1) {
      this.priorities.push({ short: new FairQueue(findWeight), long: new FairQueue(findWeight) });
    }
  }

  /** Waiting requests of a size class. */
  count(sizeClass: SizeClass): number {
    let count = 0;
    for (const queues of this.priorities) {
      count += queues[sizeClass].length;
    }
    return count;
  }

  /** All waiting requests. */
  get size(): number {
    return this.count('short') + this.count('long') + this.parked.size;
  }

  /** Estimates how many requests of the same size class are served before a new one. */
  countAhead(priority: number, sizeClass: SizeClass, organisation: string): number {
    let count = 0;
    for (const [index, queues] of this.priorities.entries()) {
      if (index < priority) {
        count += queues[sizeClass].length;
      }
    }
    return count + (this.priorities[priority]?.[sizeClass].countAhead(organisation) ?? 0);
  }

  /** Adds a request. */
  push(waiter: Waiter): void {
    this.queueOf(waiter).push(waiter);
    this.deadlines.push(waiter);
  }

  /** Removes a request that gets a slot. */
  take(waiter: Waiter): void {
    if (!this.parked.delete(waiter)) {
      this.queueOf(waiter).take(waiter);
    }
    this.deadlines.remove(waiter);
  }

  /** Removes a request that is refused. */
  remove(waiter: Waiter): void {
    if (!this.parked.delete(waiter)) {
      this.queueOf(waiter).remove(waiter);
    }
    this.deadlines.remove(waiter);
  }

  /** Puts a request aside until an endpoint that it may use has a free slot. */
  park(waiter: Waiter): void {
    this.queueOf(waiter).take(waiter);
    this.parked.add(waiter);
  }

  /** Yields the requests that can not meet their deadlines any more; each must be removed. */
  *listExpired(now: number): Generator<Waiter> {
    let waiter = this.deadlines.peek();
    while (waiter !== undefined && waiter.latestStartAt < now) {
      yield waiter;
      waiter = this.deadlines.peek();
    }
  }

  /** The next moment at which a request expires. */
  get nextExpiryAt(): number {
    return this.deadlines.peek()?.latestStartAt ?? Infinity;
  }

  /** Returns the request whose turn it is; the older one when both size classes may start. */
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

  /** Returns the most important long request. */
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
   * Finds a request that gives its place to a new one when the queue is full: the newest of the
   * least important ones, or one of an organisation with a much longer queue at equal priority.
   */
  findDisplaceable(
    priority: number,
    sizeClass: SizeClass,
    organisation: string,
  ): Waiter | undefined {
    for (let index = PRIORITIES - 1; index > priority; index -= 1) {
      const queues = this.priorities[index];
      const found = queues?.short.findDisplaceable() ?? queues?.long.findDisplaceable();
      if (found !== undefined) {
        return found;
      }
    }
    const queue = this.priorities[priority]?.[sizeClass];
    const found = queue?.findDisplaceable();
    if (queue === undefined || found === undefined) {
      return undefined;
    }
    const longest = queue.lengthOf(found.request.organisation);
    return longest > queue.lengthOf(organisation) + 1 ? found : undefined;
  }

  private queueOf(waiter: Waiter): FairQueue {
    const index = Math.min(PRIORITIES - 1, Math.max(0, waiter.request.priority));
    return (this.priorities[index] as PriorityQueues)[waiter.request.sizeClass];
  }
}
