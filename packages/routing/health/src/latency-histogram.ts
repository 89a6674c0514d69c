/**
 * Service times of one route over the whole cell, in logarithmic classes: the median, and the
 * probability that a request takes longer than a given time.
 */

/** Lower bound of the first class in milliseconds. */
const FIRST_BUCKET_MILLISECONDS = 0.25;

/** Ratio of neighbouring classes; the error of the median is at most 10%. */
const BUCKET_RATIO = 1.2;

const BUCKET_COUNT = 100;

/** Default number of samples at which all counts are halved, so that old traffic loses its weight. */
const DEFAULT_MAXIMUM_SAMPLES = 100_000;

/** Beyond the longest time seen, the tail is taken to fall with this power of the time. */
const TAIL_EXPONENT = 3;

const LOG_RATIO = Math.log(BUCKET_RATIO);

function findBucketIndex(milliseconds: number): number {
  const index = Math.ceil(Math.log(milliseconds / FIRST_BUCKET_MILLISECONDS) / LOG_RATIO);
  return Math.min(BUCKET_COUNT - 1, Math.max(0, index));
}

function getUpperBound(index: number): number {
  return FIRST_BUCKET_MILLISECONDS * BUCKET_RATIO ** index;
}

/** The distribution of the service times of one route. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(BUCKET_COUNT);

  private total = 0;

  private medianBucket = 0;

  private samplesSinceMedian = 0;

  /** `observedSince` is the time of the first observation in monotonic milliseconds. */
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
    // The median moves slowly; it is searched again after a tenth more samples.
    if (this.samplesSinceMedian * 10 >= this.total) {
      this.updateMedian();
    }
  }

  /** Samples behind the distribution. */
  get samples(): number {
    return this.total;
  }

  /** The median in milliseconds; 0 without samples. */
  get median(): number {
    return this.total === 0 ? 0 : getUpperBound(this.medianBucket);
  }

  /** Returns the time that the given share of the samples does not exceed; 0 without samples. */
  quantile(share: number): number {
    return this.total === 0 ? 0 : getUpperBound(this.findBucketAtShare(share));
  }

  /** Returns the probability that a service time exceeds the given one. */
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
