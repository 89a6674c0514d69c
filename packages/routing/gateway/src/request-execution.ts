/**
 * Retries and hedging for one request. A request that is not idempotent is retried only if provably no endpoint ran it.
 * An idempotent request is also retried after a failure, and hedged when its endpoint is slow to respond.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Outcome } from '@dogwoodstall/datagrams';
import { FailureError, type ResultName } from '@dogwoodstall/results';
import type { Route } from '@dogwoodstall/traffic';
import {
  type AttemptOutcome,
  type AttemptOptions,
  type AttemptResult,
  type EndpointResponse,
  sendAttempt,
} from './attempt.js';
import type { SlotDecision, SlotReport, SlotSource } from './slots.js';

/** An attempt as recorded in the log. */
export interface AttemptRecord {
  readonly endpoint: string;
  readonly outcome: string;
  readonly milliseconds: number;
}

/** A request, independent of the connection it arrived on. */
export interface RequestContext {
  readonly requestId: string | undefined;
  readonly service: string;
  readonly route: Route;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly deadlineAt: number;
  readonly fingerprint: string;
}

/** Options of `runRequest`. */
export interface RequestExecutionOptions {
  readonly facts: RequestContext;
  readonly slots: SlotSource;
  readonly attempt: Pick<AttemptOptions, 'pool' | 'protocol'>;
  /** Aborted at the deadline and when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly note: (note: AttemptRecord) => void;
}

/** The final response or failure of a request. */
export type RequestResult =
  | { readonly kind: 'answer'; readonly answer: EndpointResponse }
  | {
      readonly kind: 'failure';
      readonly failure: FailureError;
      /** Milliseconds after which the caller may retry; set only if the request was not run. */
      readonly retryAfter: number | undefined;
    };

/** Minimum retry delay sent to the caller when the request was not run. */
const SHED_RETRY_MILLISECONDS = 200;
/** No attempt is started with less time than this before the deadline, since it would waste a slot. */
const SHORTEST_ATTEMPT_MILLISECONDS = 15;

/** Attempts allowed beyond the maximum of the route when earlier ones could not connect to their endpoint. */
const MAXIMUM_UNSENT_TRIES = 4;

type TryEnd =
  | { readonly kind: 'refused'; readonly decision: Extract<SlotDecision, { kind: 'refused' }> }
  | { readonly kind: 'ended'; readonly result: AttemptResult };

interface Try {
  readonly number: number;
  readonly done: Promise<{ readonly number: number; readonly end: TryEnd }>;
  /** Resolves when no response has arrived within the hedge delay. */
  readonly silent: Promise<'silent'>;
  readonly abort: AbortController;
}

const outcomeByEnd: Readonly<Record<Exclude<AttemptOutcome['kind'], 'answer'>, Outcome>> = {
  shed: 'shed',
  misdirected: 'misdirected',
  refused: 'refused',
  broken: 'reset',
  abandoned: 'abandoned',
};

const resultByReason: Readonly<
  Record<Extract<SlotDecision, { kind: 'refused' }>['reason'], ResultName>
> = {
  'no-endpoint': 'NoEndpoint',
  overload: 'DeadlineUnreachable',
  'retry-budget': 'RetryBudgetExhausted',
  crashing: 'CrashingRequestHeld',
  stopping: 'NotReady',
};

function describeEnd({ end, ...facts }: AttemptResult): SlotReport {
  if (end.kind === 'answer') {
    const outcome = end.answer.status >= 500 ? 'error' : 'success';
    return { outcome, ...facts };
  }
  const outcome = end.kind === 'abandoned' && !end.sent ? 'unused' : outcomeByEnd[end.kind];
  return { outcome, ...facts };
}

/** Runs the attempts of one request and decides on retries and hedging. */
class RequestExecution {
  private readonly excluded: string[] = [];

  private tries = 0;

  /** Attempts that reached an endpoint or may have reached one. */
  private sends = 0;

  private mayHaveRun = false;

  /** Whether the hedge delay has expired; a request is hedged at most once. */
  private hedged = false;

  private endpointFailure: EndpointResponse | undefined;

  private failure: FailureError | undefined;

  private retryAfter = SHED_RETRY_MILLISECONDS;

  constructor(private readonly options: RequestExecutionOptions) {}

  async run(): Promise<RequestResult> {
    const running = new Map<number, Try>();
    const start = (): void => {
      const started = this.start();
      running.set(started.number, started);
    };
    start();
    while (running.size > 0) {
      const event = await this.nextEvent(running);
      if (event === 'silent') {
        this.hedged = true;
        if (this.maySendAgain()) {
          start();
        }
      } else {
        running.delete(event.number);
        const answer = this.judge(event.end);
        if (answer !== undefined) {
          for (const { abort } of running.values()) {
            abort.abort();
          }
          return { kind: 'answer', answer };
        }
        if (running.size === 0 && this.mayTryAgain(event.end)) {
          start();
        }
      }
    }
    return this.conclude();
  }

  private nextEvent(running: ReadonlyMap<number, Try>): Promise<Awaited<Try['done']> | 'silent'> {
    const events: Promise<Awaited<Try['done']> | 'silent'>[] = [];
    for (const { done, silent } of running.values()) {
      events.push(done);
      if (!this.hedged) {
        events.push(silent);
      }
    }
    return Promise.race(events);
  }

  private start(): Try {
    this.tries += 1;
    const number = this.tries;
    const abort = new AbortController();
    const signal = AbortSignal.any([this.options.signal, abort.signal]);
    let becomeSilent = (): void => {};
    const silent = new Promise<'silent'>((resolve) => {
      becomeSilent = () => resolve('silent');
    });
    const done = this.attempt(signal, becomeSilent).then((end) => ({ number, end }));
    return { number, done, silent, abort };
  }

  private async attempt(signal: AbortSignal, becomeSilent: () => void): Promise<TryEnd> {
    const { facts, slots } = this.options;
    const decision = await slots.acquire(
      {
        requestId: facts.requestId ?? '',
        service: facts.service,
        route: facts.route,
        deadlineAt: facts.deadlineAt,
        repeated: this.sends > 0,
        bodyBytes: facts.body?.length ?? 0,
        fingerprint: facts.fingerprint,
        excluded: this.excluded,
      },
      signal,
    );
    if (decision.kind === 'refused') {
      return { kind: 'refused', decision };
    }
    const { slot } = decision;
    this.excluded.push(slot.endpoint);
    this.sends += 1;
    const silence = new AbortController();
    if (slot.hedgeAfter !== undefined && facts.route.idempotent) {
      delay(slot.hedgeAfter, undefined, { signal: silence.signal }).then(becomeSilent, () => {
        // The attempt ended before the hedge delay.
      });
    }
    const result = await sendAttempt({
      ...this.options.attempt,
      address: slot.address,
      maximumIdleMilliseconds: slot.maximumIdleMilliseconds,
      facts: {
        requestId: facts.requestId,
        endpoint: slot.endpoint,
        remainingMilliseconds: Math.max(1, facts.deadlineAt - performance.now()),
      },
      method: facts.method,
      target: facts.target,
      headers: facts.headers,
      body: facts.body,
      signal,
    });
    silence.abort();
    if (result.end.kind === 'refused') {
      this.sends -= 1;
    }
    const end = describeEnd(result);
    slot.report(end);
    this.options.note({
      endpoint: slot.endpoint,
      outcome: end.outcome,
      milliseconds: Math.round(end.elapsed),
    });
    return { kind: 'ended', result };
  }

  /** Returns the response if it completes the request; otherwise records what the attempt revealed. */
  private judge(end: TryEnd): EndpointResponse | undefined {
    if (end.kind === 'refused') {
      this.retryAfter = Math.max(this.retryAfter, end.decision.retryAfter);
      this.failure ??= new FailureError(resultByReason[end.decision.reason]);
      return undefined;
    }
    const { end: attemptEnd } = end.result;
    switch (attemptEnd.kind) {
      case 'answer':
        if (attemptEnd.answer.status < 500) {
          return attemptEnd.answer;
        }
        this.mayHaveRun = true;
        this.endpointFailure = attemptEnd.answer;
        return undefined;
      case 'shed':
        this.failure = new FailureError('BackendShed');
        return undefined;
      case 'broken':
        this.mayHaveRun = true;
        this.failure = new FailureError('BackendReset', attemptEnd.reason);
        return undefined;
      case 'abandoned':
        this.mayHaveRun ||= attemptEnd.sent;
        return undefined;
      default:
        this.failure = new FailureError('NoEndpoint');
        return undefined;
    }
  }

  private maySendAgain(): boolean {
    const { facts, signal } = this.options;
    return (
      !signal.aborted &&
      this.sends < facts.route.maximumAttempts &&
      this.tries < facts.route.maximumAttempts + MAXIMUM_UNSENT_TRIES &&
      facts.deadlineAt - performance.now() > SHORTEST_ATTEMPT_MILLISECONDS
    );
  }

  private mayTryAgain(end: TryEnd): boolean {
    if (end.kind === 'refused' || !this.maySendAgain()) {
      return false;
    }
    return this.options.facts.route.idempotent || !this.mayHaveRun;
  }

  private conclude(): RequestResult {
    if (this.endpointFailure !== undefined) {
      return { kind: 'answer', answer: this.endpointFailure };
    }
    const { signal } = this.options;
    if (this.mayHaveRun) {
      const timedOut = signal.aborted && signal.reason instanceof FailureError;
      const failure = timedOut ? signal.reason : this.failure;
      const known = failure?.execution === 'not-known' ? failure : undefined;
      return {
        kind: 'failure',
        failure: known ?? new FailureError('BackendReset'),
        retryAfter: undefined,
      };
    }
    return {
      kind: 'failure',
      failure: this.failure ?? new FailureError('DeadlineUnreachable'),
      retryAfter: this.retryAfter,
    };
  }
}

/** Sends a request to endpoints; resolves with the response or failure to send to the caller. */
export function executeRequest(options: RequestExecutionOptions): Promise<RequestResult> {
  return new RequestExecution(options).run();
}
