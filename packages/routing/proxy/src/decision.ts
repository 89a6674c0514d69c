/**
 * The decision about each request, and a bounded ring of the last ones for `explain`.
 */
import { findResult, type Failure } from '@dogwoodstall/results';

/** One attempt in a decision. */
export interface DecisionAttempt {
  readonly endpoint: string;
  readonly outcome: string;
  readonly queuedMilliseconds: number;
  readonly milliseconds: number;
}

/** What was decided about one request at one daemon. */
export interface Decision {
  readonly requestId: string;
  readonly route: string;
  readonly organisation: string;
  readonly hops: number;
  /** Name of the daemon that dispatched it or that it was forwarded to last. */
  dispatcher: string | undefined;
  endpoint: string | undefined;
  readonly attempts: DecisionAttempt[];
  /** Number of the result code; 0 is an answer of a backend server. */
  result: number;
  status: number | undefined;
  totalMilliseconds: number;
}

/** Starts the decision of a request. */
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

/** Sets the result of a decision. */
export function setFailure(decision: Decision, failure: Failure): void {
  const { number, httpStatus } = findResult(failure.kind);
  Object.assign(decision, { result: number, status: httpStatus });
}

/** The last decisions; the oldest is overwritten. */
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

  /** Returns up to `count` of the last decisions, the latest first. */
  latest(count: number): Decision[] {
    const ordered = [...this.entries.slice(this.next), ...this.entries.slice(0, this.next)];
    return ordered.reverse().slice(0, count);
  }
}
