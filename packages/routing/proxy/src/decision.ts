/**
 * The record of how each request was dispatched, and a ring buffer of recent records for `explain`.
 */
import { findResult, type Failure } from '@dogwoodstall/results';

/** One attempt of a request. */
export interface DecisionAttempt {
  readonly endpoint: string;
  readonly outcome: string;
  readonly queuedMilliseconds: number;
  readonly milliseconds: number;
}

/** How one daemon dispatched one request. */
export interface Decision {
  readonly requestId: string;
  readonly route: string;
  readonly organisation: string;
  readonly hops: number;
  /** Name of the daemon that dispatched the request or to which it was last forwarded. */
  dispatcher: string | undefined;
  endpoint: string | undefined;
  readonly attempts: DecisionAttempt[];
  /** Number of the result code; 0 for a response from a backend server. */
  result: number;
  status: number | undefined;
  totalMilliseconds: number;
}

/** Creates the decision of a request that has not been dispatched yet. */
export function createDecision(
  requestId: string,
  route: string,
  organisation: string,
  hops: number,
): Decision {
  return {
    requestId,
    route,
    organisation,
    hops,
    dispatcher: undefined,
    endpoint: undefined,
    attempts: [],
    result: 0,
    status: undefined,
    totalMilliseconds: 0,
  };
}

/** Records a failure as the result of a decision. */
export function setFailure(decision: Decision, failure: Failure): void {
  const { number, httpStatus } = findResult(failure.kind);
  Object.assign(decision, { result: number, status: httpStatus });
}

/** Ring buffer of recent decisions; a new one overwrites the oldest. */
export class DecisionRing {
  private readonly entries: Decision[] = [];

  private next = 0;

  constructor(private readonly capacity: number) {}

  add(decision: Decision): void {
    this.entries[this.next] = decision;
    this.next = (this.next + 1) % this.capacity;
  }

  /** Returns the decisions about a request at this daemon. */
  find(requestId: string): Decision[] {
    return this.entries.filter((decision) => decision.requestId === requestId);
  }

  /** Returns up to `count` decisions, newest first. */
  latest(count: number): Decision[] {
    const ordered = [...this.entries.slice(this.next), ...this.entries.slice(0, this.next)];
    return ordered.reverse().slice(0, count);
  }
}
