/**
 * A histogram of service times with logarithmic buckets, for quantiles and for the probability that
 * a request takes longer than a given time.
 */

/** Upper bound of the first bucket. */
const FIRST_BUCKET_MILLISECONDS = 0.25;

/** Ratio of the bounds of adjacent buckets; limits the error of the median to 10%. */
const BUCKET_RATIO = 1.2;

const BUCKET_COUNT = 100;

/** Default number of samples at which all counts are halved, so that old samples lose weight. */
const DEFAULT_MAXIMUM_SAMPLES = 100_000;

/** Beyond the longest recorded time, the tail is extrapolated as a power law with this exponent. */
const TAIL_EXPONENT = 3;

const LOG_RATIO = Math.log(BUCKET_RATIO);

function findBucketIndex(milliseconds: number): number {
  const index = Math.ceil(Math.log(milliseconds / FIRST_BUCKET_MILLISECONDS) / LOG_RATIO);
  return Math.min(BUCKET_COUNT - 1, Math.max(0, index));
}

function getUpperBound(index: number): number {
  return FIRST_BUCKET_MILLISECONDS * BUCKET_RATIO ** index;
}

/** Histogram of service times; old samples lose weight. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(BUCKET_COUNT);

  private total = 0;

  private medianBucket = 0;

  private samplesSinceMedian = 0;

  /** `observedSince` is the time of the first sample in monotonic milliseconds. */
  constructor(
    private readonly maximumSamples = DEFAULT_MAXIMUM_SAMPLES,
    readonly observedSince = 0,
  ) {}

  /** Adds a service time. */
  add(milliseconds: number): void {
    const index = findBucketIndex(Math.max(milliseconds, FIRST_BUCKET_MILLISECONDS));
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total += 1;
    this.samplesSinceMedian += 1;
    if (this.total >= this.maximumSamples) {
      this.halveCounts();
    }
    // The median changes slowly, so it is updated only after 10% new samples.
    if (this.samplesSinceMedian * 10 >= this.total) {
      this.updateMedian();
    }
  }

  /** Number of samples, with old ones weighted down. */
  get samples(): number {
    return this.total;
  }

  /** Median in milliseconds; 0 without samples. */
  get median(): number {
    return this.total === 0 ? 0 : getUpperBound(this.medianBucket);
  }

  /** Returns the quantile of a share from 0 to 1 in milliseconds; 0 without samples. */
  quantile(share: number): number {
    return this.total === 0 ? 0 : getUpperBound(this.findBucketAtShare(share));
  }

  /** Returns the probability that a service time exceeds the given time. */
  computeExceedance(milliseconds: number): number {
    const index = findBucketIndex(milliseconds);
    let longer = 0;
    let longest = 0;
    for (let position = 0; position < BUCKET_COUNT; position += 1) {
      const count = this.counts[position] ?? 0;
      longer += position >= index ? count : 0;
      longest = count >= 1 ? position : longest;
    }
    const beyond = Math.min(1, (getUpperBound(longest) / milliseconds) ** TAIL_EXPONENT);
    return Math.min(1, (longer + 1) / (this.total + 1)) * beyond;
  }

  private halveCounts(): void {
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      this.counts[index] = (this.counts[index] ?? 0) / 2;
    }
    this.total /= 2;
  }

  private updateMedian(): void {
    this.samplesSinceMedian = 0;
    this.medianBucket = this.findBucketAtShare(0.5);
  }

  private findBucketAtShare(share: number): number {
    let sum = 0;
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      sum += this.counts[index] ?? 0;
      if (sum >= this.total * share) {
        return index;
      }
    }
    return BUCKET_COUNT - 1;
  }
}
