/**
 * What health tells others: ejections, returns and the state of each endpoint.
 */
import type { EvidenceKind } from './peer-comparison.js';

/** Why an endpoint was ejected. */
export type EjectionReason = EvidenceKind | 'stalled' | 'trial-failed' | 'lost';

/** The evidence behind an ejection, for logs and status output. */
export interface EjectionEvidence {
  readonly reason: EjectionReason;
  /** The route, or `*` for all routes together. */
  readonly routeName: string;
  readonly samples: number;
  readonly observed: number;
  readonly expected: number;
  /** Natural logarithm of one over the bound on the probability by chance. */
  readonly strength: number;
}

/** How an endpoint may be used. */
export type EndpointCondition =
  | 'healthy'
  /** New; slower answers are allowed for. */
  | 'cold-start'
  /** Receives no work. */
  | 'ejected'
  /** Would be ejected, but the floor keeps it in use at a lower preference. */
  | 'kept-by-floor'
  /** Back from an ejection, receives trial requests. */
  | 'trial'
  /** Passed its trial; its share of the work grows. */
  | 'slow-start';

/** An ejection, a return, or the end of either. */
export interface HealthChange {
  readonly kind: 'ejected' | 'kept-by-floor' | 'trial' | 'returned';
  readonly endpointName: string;
  readonly at: number;
  /** End of the ejection; `at` for other changes. */
  readonly until: number;
  readonly ejections: number;
  readonly evidence?: EjectionEvidence | undefined;
}

/** The state of one endpoint for status output. */
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
