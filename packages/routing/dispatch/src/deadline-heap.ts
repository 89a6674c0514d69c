/**
 * A binary min-heap of waiting requests, ordered by the latest time at which they can start.
 */
import type { Waiter } from './waiter.js';

/** Waiting requests, the one with the earliest latest start first. Updates take O(log n). */
export class DeadlineHeap {
  private readonly items: Waiter[] = [];

  /** Returns the request that expires first. */
  peek(): Waiter | undefined {
    return this.items[0];
  }

  push(waiter: Waiter): void {
    this.setAt(waiter, this.items.length);
    this.siftUp(waiter);
  }

  /** Removes a request; does nothing if it is not in the heap. */
  remove(waiter: Waiter): void {
    const index = waiter.heapIndex;
    if (index < 0) {
      return;
    }
    const last = this.items.pop();
    const removed = waiter;
    removed.heapIndex = -1;
    if (last !== undefined && last !== waiter) {
      this.setAt(last, index);
      this.siftUp(last);
      this.siftDown(last);
    }
  }

  private setAt(waiter: Waiter, index: number): void {
    const placed = waiter;
    placed.heapIndex = index;
    this.items[index] = waiter;
  }

  private siftUp(waiter: Waiter): void {
    while (waiter.heapIndex > 0) {
      const index = waiter.heapIndex;
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = this.items[parentIndex];
      if (parent === undefined || parent.latestStartAt <= waiter.latestStartAt) {
        return;
      }
      this.setAt(parent, index);
      this.setAt(waiter, parentIndex);
    }
  }

  private siftDown(waiter: Waiter): void {
    for (;;) {
      const index = waiter.heapIndex;
      const left = this.items[2 * index + 1];
      const right = this.items[2 * index + 2];
      const child =
        right !== undefined && left !== undefined && right.latestStartAt < left.latestStartAt
          ? right
          : left;
      if (child === undefined || child.latestStartAt >= waiter.latestStartAt) {
        return;
      }
      const childIndex = child.heapIndex;
      this.setAt(child, index);
      this.setAt(waiter, childIndex);
    }
  }
}
