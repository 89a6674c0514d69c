/**
 * Counts of events by slice of time, for the latest slices.
 */

/** Counts by the number of a slice; that of an older slice is replaced by the one a history later. */
export class SliceCounts {
  private readonly counts: number[];

  constructor(private readonly slices: number) {
    this.counts = new Array<number>(slices).fill(0);
  }

  /** Returns the count of a slice of the history; 0 for one before the clock began. */
  get(slice: number): number {
    return slice < 0 ? 0 : (this.counts[slice % this.slices] as number);
  }

  add(slice: number, change: number): void {
    this.counts[slice % this.slices] = this.get(slice) + change;
  }

  clear(slice: number): void {
    this.counts[slice % this.slices] = 0;
  }
}
