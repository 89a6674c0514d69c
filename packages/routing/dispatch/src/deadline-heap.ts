/**
 * A binary heap of waiting requests by the latest moment at which they must start.
 */
import type { Waiter } from './waiter.js';

/** Waiting requests, the most urgent first; every operation costs O(log n). */
export class DeadlineHeap {
  private readonly items: Waiter[] = [];

  /** The most urgent request. */
  peek(): Waiter | undefined {
    return this.items[0];
  }

  /** Adds a request. */
  push(waiter: Waiter): void {
    this.place(waiter, this.items.length);
    this.moveUp(waiter);
  }

  /** Removes a request; one that is not contained is ignored. */
  remove(waiter: Waiter): void {
    const index = waiter.heapIndex;
    if (index < 0) {
      return;
    }
    const last = this.items.pop();
    const removed = waiter;
    removed.heapIndex = -1;
    if (last !== undefined && last !== waiter) {
      this.place(last, index);
      this.moveUp(last);
      this.moveDown(last);
    }
  }

  private place(waiter: Waiter, index: number): void {
    const placed = waiter;
    placed.heapIndex = index;
    this.items[index] = waiter;
  }

  private moveUp(waiter: Waiter): void {
    while (waiter.heapIndex > 0) {
      const index = waiter.heapIndex;
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = this.items[parentIndex];
      if (parent === undefined || parent.latestStartAt <= waiter.latestStartAt) {
        return;
      }
      this.place(parent, index);
      this.place(waiter, parentIndex);
    }
  }

  private moveDown(waiter: Waiter): void {
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
      this.place(child, index);
      this.place(waiter, childIndex);
    }
  }
}
