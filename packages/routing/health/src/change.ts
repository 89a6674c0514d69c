/**
 * The public types of endpoint health: conditions, changes, evidence and status snapshots.
 */
import type { EvidenceKind } from './peer-comparison.js';

/** Why an endpoint was ejected. */
export type EjectionReason = EvidenceKind | 'stalled' | 'trial-failed' | 'lost';

/** The evidence for an ejection, as written to logs and status output. */
export interface EjectionEvidence {
  readonly reason: EjectionReason;
  /** The route, or `*` for all routes together. */
  readonly routeName: string;
  readonly samples: number;
  readonly observed: number;
  readonly expected: number;
  /** Negative natural logarithm of the bound on the probability that chance explains it. */
  readonly strength: number;
}

/** Condition of an endpoint, which determines how much traffic it receives. */
export type EndpointCondition =
  | 'healthy'
  /** New; slow responses are tolerated, and its weight increases. */
  | 'cold-start'
  /** Receives no requests. */
  | 'ejected'
  /** Would be ejected, but the healthy-capacity floor keeps it in use with lower preference. */
  | 'kept-by-floor'
  /** Its ejection has ended; receives a small share of requests as probe requests. */
  | 'trial'
  /** Passed the probe requests; its weight increases. */
  | 'slow-start';

/** A change of the condition of an endpoint. */
export interface HealthChange {
  readonly kind: 'ejected' | 'kept-by-floor' | 'trial' | 'returned';
  readonly endpointName: string;
  readonly at: number;
  /** End of the ejection; equal to `at` for other changes. */
  readonly until: number;
  readonly ejections: number;
  readonly evidence?: EjectionEvidence | undefined;
}

/** The health of one endpoint for status output. */
export interface EndpointHealthSnapshot {
  readonly name: string;
  readonly condition: EndpointCondition;
  readonly weight: number;
  readonly ejections: number;
  readonly ejectedUntil?: number | undefined;
  readonly evidence?: EjectionEvidence | undefined;
  readonly inFlight: number;
  readonly failedProbes: number;
}
