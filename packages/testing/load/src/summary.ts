/**
 * Outcome counts and latency percentiles of a group of requests.
 */
import * as hdr from 'hdr-histogram-js';
import type { OutcomeKind, RequestOutcome } from './outcome.js';

const HIGHEST_LATENCY_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Latency percentiles in milliseconds; NaN when no response was complete. */
export interface LatencySummary {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly maximum: number;
}

/** Aggregates the outcomes and the latencies of a group of requests. */
export class Summary {
  private readonly histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  private readonly kinds = new Map<OutcomeKind, number>();

  private readonly failures = new Map<string, number>();

  private requestCount = 0;

  /** Records one request; only complete responses, including late ones, count in the latencies. */
  record(outcome: RequestOutcome): void {
    this.requestCount += 1;
    this.kinds.set(outcome.kind, (this.kinds.get(outcome.kind) ?? 0) + 1);
    if (outcome.failureCode !== undefined) {
      this.failures.set(outcome.failureCode, (this.failures.get(outcome.failureCode) ?? 0) + 1);
    }
    if (outcome.kind === 'ok' || outcome.kind === 'late') {
      const microseconds = Math.max(1, Math.round(outcome.latencyMilliseconds * 1000));
      this.histogram.recordValue(Math.min(microseconds, HIGHEST_LATENCY_MICROSECONDS));
    }
  }

  get requests(): number {
    return this.requestCount;
  }

  count(kind: OutcomeKind): number {
    return this.kinds.get(kind) ?? 0;
  }

  /** Failures by result code. */
  get failuresByCode(): ReadonlyMap<string, number> {
    return this.failures;
  }

  get latency(): LatencySummary {
    const at = (percentile: number): number =>
      this.histogram.totalCount === 0
        ? Number.NaN
        : this.histogram.getValueAtPercentile(percentile) / 1000;
    return { p50: at(50), p90: at(90), p99: at(99), p999: at(99.9), maximum: at(100) };
  }
}
