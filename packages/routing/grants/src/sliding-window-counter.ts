/**
 * A sliding window counter, divided into buckets.
 */

/** The window advances in steps of one bucket. */
const BUCKET_COUNT = 20;

/** Counts the events of the last `windowMilliseconds`. */
export class SlidingWindowCounter {
  private readonly counts = new Array<number>(BUCKET_COUNT).fill(0);

  private readonly bucketMilliseconds: number;

  private current = 0;

  private total = 0;

  constructor(windowMilliseconds: number, now: number) {
    this.bucketMilliseconds = windowMilliseconds / BUCKET_COUNT;
    this.current = Math.floor(now / this.bucketMilliseconds);
  }

  /** Counts an event. */
  add(now: number): void {
    this.advance(now);
    const index = this.current % BUCKET_COUNT;
    this.counts[index] = (this.counts[index] as number) + 1;
    this.total += 1;
  }

  /** Returns the number of events in the window. */
  count(now: number): number {
    this.advance(now);
    return this.total;
  }

  private advance(now: number): void {
    const bucket = Math.floor(now / this.bucketMilliseconds);
    const steps = Math.min(BUCKET_COUNT, bucket - this.current);
    for (let step = 0; step < steps; step += 1) {
      const index = (bucket - step) % BUCKET_COUNT;
      this.total -= this.counts[index] as number;
      this.counts[index] = 0;
    }
    this.current = Math.max(this.current, bucket);
  }
}
