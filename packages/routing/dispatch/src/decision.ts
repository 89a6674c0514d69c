/**
 * The record of each decision, for the decision log and for explaining a single request.
 */
import type { ResultName } from '@dogwoodstall/results';
import type { DispatchRequest } from './request.js';

/** The result of a refusal by a dispatcher. */
export type RefusalResult = Extract<
  ResultName,
  | 'DeadlineUnreachable'
  | 'DeadlineInQueue'
  | 'QueueFull'
  | 'ShedByPriority'
  | 'OrganisationRateExceeded'
  | 'OrganisationConcurrencyExceeded'
  | 'NoEndpoint'
  | 'CrashingRequest'
  | 'CancelledInQueue'
>;

/** One grant or refusal with the facts that led to it. */
export interface DispatchDecision {
  readonly kind: 'grant' | 'refusal';
  readonly cell: string;
  readonly requestId: string;
  readonly routeName: string;
  readonly organisation: string;
  readonly sizeClass: DispatchRequest['sizeClass'];
  readonly priority: number;
  readonly originZone: string;
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly remainingMilliseconds: number;
  readonly queuedMilliseconds: number;
  /** The wait that admission expected. */
  readonly expectedWaitMilliseconds: number;
  /** Requests that wait in the cell after the decision. */
  readonly waiting: number;
  readonly endpoint?: string | undefined;
  readonly endpointZone?: string | undefined;
  /** Requests at the endpoint from this dispatcher, with this one, and its present limit. */
  readonly endpointInFlight?: number | undefined;
  readonly endpointLimit?: number | undefined;
  readonly result?: RefusalResult | undefined;
}
