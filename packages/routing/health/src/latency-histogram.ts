/**
 * Service times of one route over the whole cell, in logarithmic classes: the median, and the
 * probability that a request takes longer than a given time.
 */

/** Lower bound of the first class in milliseconds. */
const FIRST_CLASS_MILLISECONDS = 0.25;

/** Ratio of neighbouring classes; the error of the median is at most 10%. */
const CLASS_RATIO = 1.2;

const CLASS_COUNT = 100;

/** Default number of samples at which all counts are halved, so that old traffic loses its weight. */
const DEFAULT_MAXIMUM_SAMPLES = 100_000;

/** Beyond the longest time seen, the tail is taken to fall with this power of the time. */
const TAIL_EXPONENT = 3;

const LOG_RATIO = Math.log(CLASS_RATIO);

function classOf(milliseconds: number): number {
  const index = Math.ceil(Math.log(milliseconds / FIRST_CLASS_MILLISECONDS) / LOG_RATIO);
  return Math.min(CLASS_COUNT - 1, Math.max(0, index));
}

function upperBound(index: number): number {
  return FIRST_CLASS_MILLISECONDS * CLASS_RATIO ** index;
}

/** The distribution of the service times of one route. */
export class LatencyHistogram {
  private readonly counts = new Float64Array(CLASS_COUNT);

  private total = 0;

  private medianClass = 0;

  private sinceMedian = 0;

  /** `observedSince` is the time of the first observation in monotonic milliseconds. */
  constructor(
    private readonly maximumSamples = DEFAULT_MAXIMUM_SAMPLES,
    readonly observedSince = 0,
  ) {}

  /** Adds a service time. */
  add(milliseconds: number): void {
    const index = classOf(Math.max(milliseconds, FIRST_CLASS_MILLISECONDS));
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total += 1;
    this.sinceMedian += 1;
    if (this.total >= this.maximumSamples) {
      this.halve();
    }
    // The median moves slowly; it is searched again after a tenth more samples.
    if (this.sinceMedian * 10 >= this.total) {
      this.findMedian();
    }
  }

  /** Samples behind the distribution. */
  get samples(): number {
    return this.total;
  }

  /** The median in milliseconds; 0 without samples. */
  get median(): number {
    return this.total === 0 ? 0 : upperBound(this.medianClass);
  }

  /** Returns the time that the given share of the samples does not exceed; 0 without samples. */
  quantile(share: number): number {
    return this.total === 0 ? 0 : upperBound(this.findClass(share));
  }

  /** Returns the probability that a service time exceeds the given one. */
  computeExceedance(milliseconds: number): number {
    const index = classOf(milliseconds);
    let longer = 0;
    let longest = 0;
    for (let position = 0; position < CLASS_COUNT; position += 1) {
      const count = this.counts[position] ?? 0;
      longer += position >= index ? count : 0;
      longest = count >= 1 ? position : longest;
    }
    const beyond = Math.min(1, (upperBound(longest) / milliseconds) ** TAIL_EXPONENT);
    return Math.min(1, (longer + 1) / (this.total + 1)) * beyond;
  }

  private halve(): void {
    for (let index = 0; index < CLASS_COUNT; index += 1) {
      this.counts[index] = (this.counts[index] ?? 0) / 2;
    }
    this.total /= 2;
  }

  private findMedian(): void {
    this.sinceMedian = 0;
    this.medianClass = this.findClass(0.5);
  }

  private findClass(share: number): number {
    let sum = 0;
    for (let index = 0; index < CLASS_COUNT; index += 1) {
      sum += this.counts[index] ?? 0;
      if (sum >= this.total * share) {
        return index;
      }
    }
    return CLASS_COUNT - 1;
  }
}
