/**
 * The record of a dispatch decision, used by the decision log and to explain single requests.
 */
import type { ResultName } from '@dogwoodstall/results';
import type { DispatchRequest } from './request.js';

/** The results with which a dispatcher refuses a request. */
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

/** A grant or refusal with the data on which it was based. */
export interface DispatchDecision {
  readonly kind: 'grant' | 'refusal';
  readonly cell: string;
  readonly requestId: string;
  readonly routeName: string;
  readonly organisation: string;
  readonly sizeClass: DispatchRequest['sizeClass'];
  readonly priority: number;
  readonly originZone: string;
  /** Monotonic time in milliseconds. */
  readonly at: number;
  readonly remainingMilliseconds: number;
  readonly queuedMilliseconds: number;
  /** Wait that admission control estimated when the request arrived. */
  readonly expectedWaitMilliseconds: number;
  /** Number of requests waiting in the cell after the decision. */
  readonly waiting: number;
  readonly endpoint?: string | undefined;
  readonly endpointZone?: string | undefined;
  /** Requests of this dispatcher in flight at the endpoint, including this one. */
  readonly endpointInFlight?: number | undefined;
  /** Current concurrency limit of the endpoint. */
  readonly endpointLimit?: number | undefined;
  readonly result?: RefusalResult | undefined;
}
