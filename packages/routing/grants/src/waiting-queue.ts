/**
 * The queue of requests that wait for a slot of one cell.
 */
import type { SlotRequest } from './slot-request.js';
import {
  type Allowances,
  type Place,
  type Waiter,
  type WaitingOrder,
  comparePlaces,
} from './waiting-order.js';

/** A request in the queue with its place as of the last `sort`. */
interface Entry {
  readonly waiter: Waiter;
  place: Place;
}

/** The waiting requests in the order in which they are served; those with equal places in order of arrival. */
export class WaitingQueue {
  private entries: Entry[] = [];

  /** Requests that can't use the slots that are free, so that they must not delay those that can. */
  private readonly passing = new WeakSet<Waiter>();

  /** What is left to organisations beside their queued requests, as of the last `sort`. */
  private allowances: Allowances = new Map();

  constructor(private readonly order: WaitingOrder) {}

  get size(): number {
    return this.entries.length;
  }

  /** Inserts a request behind those that go before it. */
  add(waiter: Waiter, now: number): void {
    if (this.size === 0) {
      this.allowances = new Map();
    }
    const place = this.order.findPlace(waiter, this.allowances, now);
    let index = this.entries.length;
    while (index > 0 && comparePlaces((this.entries[index - 1] as Entry).place, place) > 0) {
      index -= 1;
    }
    this.entries.splice(index, 0, { waiter, place });
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
    this.entries = this.entries.filter(({ waiter }) => waiter.request.key !== key);
  }

  /** Empties the queue and returns its requests. */
  clear(): Waiter[] {
    return this.entries.splice(0).map(({ waiter }) => waiter);
  }

  /** Finds the places of the requests again, since they depend on the time and on the shares of organisations. */
  sort(now: number): void {
    this.allowances = new Map();
    for (const entry of this.entries) {
      entry.place = this.order.findPlace(entry.waiter, this.allowances, now);
    }
    this.entries.sort((one, other) => comparePlaces(one.place, other.place));
  }

  /**
   * Keeps only the requests for which `shouldKeep` returns true; calls it in the order in which they are served, with the
   * number of those kept before.
   */
  retain(shouldKeep: (waiter: Waiter, ahead: number) => boolean): void {
    let kept = 0;
    this.entries = this.entries.filter(({ waiter }) => {
      const keep = shouldKeep(waiter, kept);
      kept += keep ? 1 : 0;
      return keep;
    });
  }

  /** Returns the place that a request would get behind the queued ones of its organisation. */
  findPlace(waiter: Waiter, now: number): Place {
    return this.order.findPlace(waiter, new Map(this.size === 0 ? [] : this.allowances), now);
  }

  /** Removes and returns the last request if it belongs to an organisation in excess, unless `waiter` goes behind it. */
  evictExcess(waiter: Waiter, now: number): Waiter | undefined {
    const last = this.entries.at(-1);
    if (
      last?.place.inExcess !== true ||
      comparePlaces(this.findPlace(waiter, now), last.place) >= 0
    ) {
      return undefined;
    }
    this.entries.pop();
    return last.waiter;
  }

  /** Counts the requests that go before the given one. */
  countAhead(waiter: Waiter, now: number): number {
    const place = this.findPlace(waiter, now);
    let ahead = 0;
    for (const entry of this.entries) {
      ahead += comparePlaces(entry.place, place) <= 0 ? 1 : 0;
    }
    return ahead;
  }

  /** Lists the requests in order. */
  *list(): Generator<SlotRequest> {
    for (const { waiter } of this.entries) {
      yield waiter.request;
    }
  }

  /** Counts the requests of an organisation with the same priority. */
  countOwn({ organisation, priority }: SlotRequest): number {
    let count = 0;
    for (const { waiter } of this.entries) {
      const { request } = waiter;
      count += request.organisation === organisation && request.priority === priority ? 1 : 0;
    }
    return count;
  }

  /**
   * Whether a queued request goes before the given one. Requests that can't use the free slots, because they exclude
   * endpoints or because their entry daemon does not reach them, don't count.
   */
  hasRequestAhead(waiter: Waiter, now: number): boolean {
    if (waiter.request.repeated) {
      return false;
    }
    const place = this.findPlace(waiter, now);
    return this.entries.some(
      (entry) =>
        comparePlaces(entry.place, place) <= 0 &&
        entry.waiter.request.excluded.size === 0 &&
        !this.passing.has(entry.waiter),
    );
  }
}
