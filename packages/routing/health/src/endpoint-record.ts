/**
 * Health data of one endpoint: recent outcomes, requests in flight, baselines and lifecycle.
 */
import type { BackendServer, SizeClass } from '@dogwoodstall/model';
import { EndpointLifecycle } from './endpoint-lifecycle.js';
import type { ReportedLoad } from './outcome.js';
import { isAdverse, SampleList, type Sample } from './samples.js';

/** An attempt in flight. */
export interface HealthAttempt {
  readonly endpointName: string;
  readonly routeName: string;
  readonly sizeClass: SizeClass;
  readonly stratum: string;
  readonly startedAt: number;
}

/** Moving average of the endpoint's service times on one route. */
interface BaselineTime {
  meanLogarithm: number;
  samples: number;
}

/** Samples of a route before the baseline is used. */
const MINIMUM_BASELINE_SAMPLES = 100;

/** Lowest weight of a new sample in the baseline, an average over about the last 500 requests. */
const BASELINE_SAMPLE_WEIGHT = 0.002;

/** Suspicion that an adverse outcome adds, and that any other outcome subtracts. */
const SUSPICION_STEP = 1;
const SUSPICION_DECAY = 0.2;
const MAXIMUM_SUSPICION = 20;

/** The health data of one endpoint. */
export class EndpointRecord {
  readonly samples = new SampleList();

  readonly inFlight = new Set<HealthAttempt>();

  readonly lifecycle: EndpointLifecycle;

  failedProbes = 0;

  reportedLoad: ReportedLoad | undefined;

  /** Score of adverse outcomes; while it is low, the costly comparison with peers is skipped. */
  suspicion = 0;

  private readonly baselines = new Map<string, BaselineTime>();

  constructor(
    public server: BackendServer,
    addedAt: number,
    cold: boolean,
  ) {
    this.lifecycle = new EndpointLifecycle(server.name, addedAt, cold);
  }

  /** Whether the endpoint is returning from an ejection. */
  get isRecovering(): boolean {
    return this.lifecycle.condition === 'trial' || this.lifecycle.condition === 'slow-start';
  }

  /** Adds an outcome and updates the suspicion. */
  addSample(sample: Sample): void {
    this.samples.add(sample);
    const step = !isAdverse(sample.flags) ? -SUSPICION_DECAY : SUSPICION_STEP;
    this.suspicion = Math.min(MAXIMUM_SUSPICION, Math.max(0, this.suspicion + step));
  }

  /** Records the latest load that the endpoint reported. */
  recordLoad(load: ReportedLoad): void {
    this.reportedLoad = load;
  }

  /** Discards the samples and the suspicion when an ejection begins or ends. */
  clearEvidence(): void {
    this.samples.clear();
    this.suspicion = 0;
  }

  /** Returns the usual service time for a route key, or undefined if there are too few samples. */
  getBaselineMilliseconds(key: string): number | undefined {
    const baseline = this.baselines.get(key);
    return baseline === undefined || baseline.samples < MINIMUM_BASELINE_SAMPLES
      ? undefined
      : Math.exp(baseline.meanLogarithm);
  }

  /** Adds a service time to the baseline of a route key. */
  updateBaseline(key: string, milliseconds: number): void {
    const baseline = this.baselines.get(key) ?? { meanLogarithm: 0, samples: 0 };
    baseline.samples += 1;
    const weight = Math.max(BASELINE_SAMPLE_WEIGHT, 1 / baseline.samples);
    baseline.meanLogarithm +=
      weight * (Math.log(Math.max(milliseconds, 0.1)) - baseline.meanLogarithm);
    this.baselines.set(key, baseline);
  }
}
