/**
 * A queue that shares slots fairly between organisations by weighted deficit round robin. Every
 * operation takes constant time, independent of the numbers of waiting requests and organisations.
 */
import type { Waiter } from './waiter.js';

interface OrganisationQueue {
  readonly organisation: string;
  weight: number;
  head: Waiter | undefined;
  tail: Waiter | undefined;
  length: number;
  /** Number of requests that may still be served in the current round. */
  deficit: number;
  previous: OrganisationQueue;
  next: OrganisationQueue;
}

/** Returns the weight of an organisation in the fair shares. */
export type FindWeight = (organisation: string) => number;

/** The waiting requests of one priority and size class. */
export class FairQueue {
  private readonly queues = new Map<string, OrganisationQueue>();

  private current: OrganisationQueue | undefined;

  /** Sum of the weights of the organisations with waiting requests. */
  private totalWeight = 0;

  /**
   * Smallest weight since the queue was last empty. An organisation of this weight is served one
   * request per round.
   */
  private minimumWeight = Infinity;

  private longestQueue: OrganisationQueue | undefined;

  private size = 0;

  constructor(private readonly findWeight: FindWeight) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.size;
  }

  /** Appends a request to the queue of its organisation. */
  enqueue(waiter: Waiter): void {
    const queue = this.getOrCreateQueue(waiter.request.organisation);
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
    if (queue.length > (this.longestQueue?.length ?? 0)) {
      this.longestQueue = queue;
    }
  }

  /** Returns the next request to serve, without removing it. */
  peek(): Waiter | undefined {
    const queue = this.current;
    if (queue === undefined) {
      return undefined;
    }
    if (queue.deficit >= 1) {
      return queue.head;
    }
    // Every quantum is at least one request, so the next organisation can always be served.
    this.current = queue.next;
    queue.next.deficit += queue.next.weight / this.minimumWeight;
    return queue.next.head;
  }

  /** Removes the request that is served and charges it to the deficit of its organisation. */
  dequeue(waiter: Waiter): void {
    const queue = this.queues.get(waiter.request.organisation);
    if (queue !== undefined) {
      queue.deficit -= 1;
      this.remove(waiter);
    }
  }

  /** Removes a request from any position, without charging it to its organisation. */
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
      this.removeQueue(queue);
    }
  }

  /** Returns the number of waiting requests of an organisation. */
  lengthOf(organisation: string): number {
    return this.queues.get(organisation)?.length ?? 0;
  }

  /**
   * Estimates how many requests will be served before a new one of an organisation: at most all that
   * wait, and at most as many as are served in the rounds that the organisation's own queue takes.
   */
  countAhead(organisation: string): number {
    const queue = this.queues.get(organisation);
    const weight = queue?.weight ?? this.findWeight(organisation);
    const totalWeight = this.totalWeight + (queue === undefined ? weight : 0);
    const rounds = ((queue?.length ?? 0) + 1) * (totalWeight / weight);
    return Math.min(this.size, rounds);
  }

  /**
   * Returns the newest request of the organisation last recorded as having the longest queue. After
   * that queue empties, the organisation whose turn it is stands in until a request is added.
   */
  findEvictable(): Waiter | undefined {
    const queue = this.longestQueue ?? this.current;
    return queue?.tail;
  }

  /** Number of organisations with waiting requests. */
  get organisations(): number {
    return this.queues.size;
  }

  private getOrCreateQueue(organisation: string): OrganisationQueue {
    const found = this.queues.get(organisation);
    if (found !== undefined) {
      return found;
    }
    const queue = { organisation, length: 0, deficit: 0 } as OrganisationQueue;
    queue.weight = this.findWeight(organisation);
    this.totalWeight += queue.weight;
    this.minimumWeight = Math.min(this.minimumWeight, queue.weight);
    this.queues.set(organisation, queue);
    this.insertInRotation(queue);
    return queue;
  }

  private insertInRotation(queue: OrganisationQueue): void {
    const added = queue;
    if (this.current === undefined) {
      added.previous = queue;
      added.next = queue;
      this.current = queue;
      return;
    }
    // A new organisation is served at the end of the current round.
    const last = this.current.previous;
    added.previous = last;
    added.next = this.current;
    last.next = queue;
    this.current.previous = queue;
  }

  private removeQueue(queue: OrganisationQueue): void {
    this.queues.delete(queue.organisation);
    this.totalWeight -= queue.weight;
    this.longestQueue = this.longestQueue === queue ? undefined : this.longestQueue;
    if (queue.next === queue) {
      this.current = undefined;
      this.minimumWeight = Infinity;
      this.totalWeight = 0;
      return;
    }
    const { previous, next } = queue;
    previous.next = next;
    next.previous = previous;
    if (this.current === queue) {
      // The next `peek` advances to the successor and adds its quantum.
      this.current = previous;
    }
  }
}
