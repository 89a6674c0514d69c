/**
 * What health knows about one endpoint.
 */
import type { BackendServer, SizeClass } from '@dogwoodstall/model';
import { EndpointLifecycle } from './endpoint-lifecycle.js';
import type { ReportedLoad } from './outcome.js';
import { isAdverse, SampleList, type Sample } from './samples.js';

/** An attempt that is in flight. */
export interface HealthAttempt {
  readonly endpointName: string;
  readonly routeName: string;
  readonly sizeClass: SizeClass;
  readonly stratum: string;
  readonly startedAt: number;
}

interface BaselineTime {
  meanLogarithm: number;
  samples: number;
}

/** Samples before the endpoint's own past is taken as known. */
const MINIMUM_BASELINE_SAMPLES = 100;

/** Weight of one sample in the mean of the past: about the last 500 requests. */
const BASELINE_SAMPLE_WEIGHT = 0.002;

/** Suspicion added by an outcome that speaks against the endpoint, and removed by a good one. */
const SUSPICION_STEP = 1;
const SUSPICION_DECAY = 0.2;
const MAXIMUM_SUSPICION = 20;

/** The evidence and the state of one endpoint. */
export class EndpointRecord {
  readonly samples = new SampleList();

  readonly inFlight = new Set<HealthAttempt>();

  readonly lifecycle: EndpointLifecycle;

  failedProbes = 0;

  reportedLoad: ReportedLoad | undefined;

  /** Says cheaply whether the statistical test is worth its cost. */
  suspicion = 0;

  private readonly baselines = new Map<string, BaselineTime>();

  constructor(
    public server: BackendServer,
    addedAt: number,
    cold: boolean,
  ) {
    this.lifecycle = new EndpointLifecycle(server.name, addedAt, cold);
  }

  /** Whether the endpoint comes back from an ejection. */
  get isRecovering(): boolean {
    return this.lifecycle.condition === 'trial' || this.lifecycle.condition === 'slow-start';
  }

  /** Adds an outcome to the evidence. */
  addSample(sample: Sample): void {
    this.samples.add(sample);
    const step = !isAdverse(sample.flags) ? -SUSPICION_DECAY : SUSPICION_STEP;
    this.suspicion = Math.min(MAXIMUM_SUSPICION, Math.max(0, this.suspicion + step));
  }

  /** Keeps the load that the endpoint reported last. */
  recordLoad(load: ReportedLoad): void {
    this.reportedLoad = load;
  }

  /** Forgets the evidence, when an ejection begins or ends. */
  clearEvidence(): void {
    this.samples.clear();
    this.suspicion = 0;
  }

  /** Returns what the endpoint used to take on a route, or undefined while that is not known. */
  getBaselineMilliseconds(key: string): number | undefined {
    const baseline = this.baselines.get(key);
    return baseline === undefined || baseline.samples < MINIMUM_BASELINE_SAMPLES
      ? undefined
      : Math.exp(baseline.meanLogarithm);
  }

  /** Adds a service time to the endpoint's past. */
  updateBaseline(key: string, milliseconds: number): void {
    const baseline = this.baselines.get(key) ?? { meanLogarithm: 0, samples: 0 };
    baseline.samples += 1;
    const weight = Math.max(BASELINE_SAMPLE_WEIGHT, 1 / baseline.samples);
    baseline.meanLogarithm +=
      weight * (Math.log(Math.max(milliseconds, 0.1)) - baseline.meanLogarithm);
    this.baselines.set(key, baseline);
  }
}
