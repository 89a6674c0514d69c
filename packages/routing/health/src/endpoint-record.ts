/**
 * What health knows about one endpoint.
 */
import type { BackendServer, SizeClass } from '@dogwoodstall/model';
import { EndpointLife } from './endpoint-lifecycle.js';
import type { ReportedLoad } from './outcome.js';
import { isMarked, SampleList, type Sample } from './samples.js';

/** An attempt that is in flight. */
export interface HealthAttempt {
  readonly endpointName: string;
  readonly routeName: string;
  readonly sizeClass: SizeClass;
  readonly stratum: string;
  readonly startedAt: number;
}

interface PastTime {
  meanLogarithm: number;
  samples: number;
}

/** Samples before the endpoint's own past is taken as known. */
const PAST_SAMPLES = 100;

/** Weight of one sample in the mean of the past: about the last 500 requests. */
const PAST_WEIGHT = 0.002;

/** Suspicion added by an outcome that speaks against the endpoint, and removed by a good one. */
const SUSPICION_STEP = 1;
const SUSPICION_RELIEF = 0.2;
const MAXIMUM_SUSPICION = 20;

/** The evidence and the state of one endpoint. */
export class EndpointRecord {
  readonly samples = new SampleList();

  readonly inFlight = new Set<HealthAttempt>();

  readonly life: EndpointLife;

  failedProbes = 0;

  reportedLoad: ReportedLoad | undefined;

  /** Says cheaply whether the statistical test is worth its cost. */
  suspicion = 0;

  private readonly past = new Map<string, PastTime>();

  constructor(
    public server: BackendServer,
    addedAt: number,
    cold: boolean,
  ) {
    this.life = new EndpointLife(server.name, addedAt, cold);
  }

  /** Whether the endpoint comes back from an ejection. */
  get returning(): boolean {
    return this.life.condition === 'trial' || this.life.condition === 'slow-start';
  }

  /** Adds an outcome to the evidence. */
  addSample(sample: Sample): void {
    this.samples.add(sample);
    const step = !isMarked(sample.marks) ? -SUSPICION_RELIEF : SUSPICION_STEP;
    this.suspicion = Math.min(MAXIMUM_SUSPICION, Math.max(0, this.suspicion + step));
  }

  /** Keeps the load that the endpoint reported last. */
  noteLoad(load: ReportedLoad): void {
    this.reportedLoad = load;
  }

  /** Forgets the evidence, when an ejection begins or ends. */
  clearEvidence(): void {
    this.samples.clear();
    this.suspicion = 0;
  }

  /** Returns what the endpoint used to take on a route, or undefined while that is not known. */
  pastMilliseconds(key: string): number | undefined {
    const past = this.past.get(key);
    return past === undefined || past.samples < PAST_SAMPLES
      ? undefined
      : Math.exp(past.meanLogarithm);
  }

  /** Adds a service time to the endpoint's past. */
  addPast(key: string, milliseconds: number): void {
    const past = this.past.get(key) ?? { meanLogarithm: 0, samples: 0 };
    past.samples += 1;
    const weight = Math.max(PAST_WEIGHT, 1 / past.samples);
    past.meanLogarithm += weight * (Math.log(Math.max(milliseconds, 0.1)) - past.meanLogarithm);
    this.past.set(key, past);
  }
}
