/**
 * A queue with fair shares between organisations by deficit round robin. All operations cost O(1) in
 * the number of waiting requests and of organisations.
 */
import type { Waiter } from './waiter.js';

interface OrganisationQueue {
  readonly organisation: string;
  weight: number;
  head: Waiter | undefined;
  tail: Waiter | undefined;
  length: number;
  /** Requests that it may still take in this round. */
  deficit: number;
  previous: OrganisationQueue;
  next: OrganisationQueue;
}

/** Returns the weight of an organisation. */
export type FindWeight = (organisation: string) => number;

/** Waiting requests of one priority and size class. */
export class FairQueue {
  private readonly queues = new Map<string, OrganisationQueue>();

  private current: OrganisationQueue | undefined;

  /** Sum of the weights of the organisations that wait. */
  private weightSum = 0;

  /** Smallest weight since the queue was empty; it gets one request in each round. */
  private smallestWeight = Infinity;

  private heaviest: OrganisationQueue | undefined;

  private size = 0;

  constructor(private readonly findWeight: FindWeight) {}

  /** Waiting requests. */
  get length(): number {
    return this.size;
  }

  /** Adds a request at the end of its organisation's queue. */
  push(waiter: Waiter): void {
    const queue = this.openQueue(waiter.request.organisation);
    const added = waiter;
    added.previous = queue.tail;
    added.next = undefined;
    if (queue.tail === undefined) {
      queue.head = waiter;
    } else {
      queue.tail.next = waiter;
    }
    queue.tail = waiter;
    queue.length += 1;
    this.size += 1;
    if (queue.length > (this.heaviest?.length ?? 0)) {
      this.heaviest = queue;
    }
  }

  /** Returns the request whose turn it is, without removing it. */
  peek(): Waiter | undefined {
    const queue = this.current;
    if (queue === undefined) {
      return undefined;
    }
    if (queue.deficit >= 1) {
      return queue.head;
    }
    // A quantum of at least one request lets every visit serve, so that one step is enough.
    this.current = queue.next;
    queue.next.deficit += queue.next.weight / this.smallestWeight;
    return queue.next.head;
  }

  /** Removes a request that got its turn. */
  take(waiter: Waiter): void {
    const queue = this.queues.get(waiter.request.organisation);
    if (queue !== undefined) {
      queue.deficit -= 1;
      this.remove(waiter);
    }
  }

  /** Removes a request from any place. */
  remove(waiter: Waiter): void {
    const queue = this.queues.get(waiter.request.organisation);
    if (queue === undefined) {
      return;
    }
    const { previous, next } = waiter;
    if (previous === undefined) {
      queue.head = next;
    } else {
      previous.next = next;
    }
    if (next === undefined) {
      queue.tail = previous;
    } else {
      next.previous = previous;
    }
    queue.length -= 1;
    this.size -= 1;
    if (queue.length === 0) {
      this.closeQueue(queue);
    }
  }

  /** Returns the waiting requests of an organisation. */
  lengthOf(organisation: string): number {
    return this.queues.get(organisation)?.length ?? 0;
  }

  /**
   * Estimates how many requests are served before a new one of an organisation: no more than all,
   * and no more than the rounds that its own queue needs.
   */
  countAhead(organisation: string): number {
    const queue = this.queues.get(organisation);
    const weight = queue?.weight ?? this.findWeight(organisation);
    const weightSum = this.weightSum + (queue === undefined ? weight : 0);
    const rounds = ((queue?.length ?? 0) + 1) * (weightSum / weight);
    return Math.min(this.size, rounds);
  }

  /** Returns the newest request of an organisation with one of the longest queues. */
  findDisplaceable(): Waiter | undefined {
    const queue = this.heaviest ?? this.current;
    return queue?.tail;
  }

  /** Organisations that wait. */
  get organisations(): number {
    return this.queues.size;
  }

  private openQueue(organisation: string): OrganisationQueue {
    const found = this.queues.get(organisation);
    if (found !== undefined) {
      return found;
    }
    const queue = { organisation, length: 0, deficit: 0 } as OrganisationQueue;
    queue.weight = this.findWeight(organisation);
    this.weightSum += queue.weight;
    this.smallestWeight = Math.min(this.smallestWeight, queue.weight);
    this.queues.set(organisation, queue);
    this.link(queue);
    return queue;
  }

  private link(queue: OrganisationQueue): void {
    const added = queue;
    if (this.current === undefined) {
      added.previous = queue;
      added.next = queue;
      this.current = queue;
      return;
    }
    // A new organisation gets its turn at the end of the round that is running.
    const before = this.current.previous;
    added.previous = before;
    added.next = this.current;
    before.next = queue;
    this.current.previous = queue;
  }

  private closeQueue(queue: OrganisationQueue): void {
    this.queues.delete(queue.organisation);
    this.weightSum -= queue.weight;
    this.heaviest = this.heaviest === queue ? undefined : this.heaviest;
    if (queue.next === queue) {
      this.current = undefined;
      this.smallestWeight = Infinity;
      this.weightSum = 0;
      return;
    }
    const { previous, next } = queue;
    previous.next = next;
    next.previous = previous;
    if (this.current === queue) {
      // The turn passes on by the next `peek`, which gives the successor its quantum.
      this.current = previous;
    }
  }
}
