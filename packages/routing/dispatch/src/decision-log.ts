/**
 * Builds the records of dispatch decisions and counts grants and refusals.
 */
import type { DispatchDecision, RefusalResult } from './decision.js';
import type { EndpointSlots } from './endpoint-slots.js';
import type { DispatchRequest } from './request.js';
import type { Waiter } from './waiter.js';

/** Options of a `DecisionLog`. */
export interface DecisionLogOptions {
  readonly cellName: string;
  readonly now: () => number;
  readonly countWaiting: () => number;
  readonly write: ((decision: DispatchDecision) => void) | undefined;
}

/** Records the decisions of one cell. */
export class DecisionLog {
  grants = 0;

  refusals = 0;

  constructor(private readonly options: DecisionLogOptions) {}

  /** Records a granted slot. */
  addGrant(waiter: Waiter, endpoint: EndpointSlots): void {
    this.grants += 1;
    const now = this.options.now();
    this.options.write?.({
      ...this.describe(waiter.request, now - waiter.enteredAt, waiter.expectedWaitMilliseconds),
      kind: 'grant',
      endpoint: endpoint.server.name,
      endpointZone: endpoint.server.zone,
      endpointInFlight: endpoint.inFlight,
      endpointLimit: endpoint.limit(now),
    });
  }

  /** Records a refused request. */
  addRefusal(
    request: DispatchRequest,
    result: RefusalResult,
    queuedMilliseconds: number,
    expectedWaitMilliseconds: number,
  ): void {
    this.refusals += 1;
    const fields = this.describe(request, queuedMilliseconds, expectedWaitMilliseconds);
    this.options.write?.({ ...fields, kind: 'refusal', result });
  }

  private describe(
    request: DispatchRequest,
    queuedMilliseconds: number,
    expectedWaitMilliseconds: number,
  ): Omit<DispatchDecision, 'kind'> {
    const { requestId, routeName, organisation, sizeClass, priority, originZone } = request;
    const at = this.options.now();
    return {
      cell: this.options.cellName,
      requestId,
      routeName,
      organisation,
      sizeClass,
      priority,
      originZone,
      at,
      remainingMilliseconds: request.deadlineAt - at,
      queuedMilliseconds,
      expectedWaitMilliseconds,
      waiting: this.options.countWaiting(),
    };
  }
}
