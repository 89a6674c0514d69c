/**
 * Retries and hedging for one request. A request that is not idempotent is retried only if provably no endpoint ran it.
 * An idempotent request is also retried after a failure, and hedged when its endpoint is slow to respond. Each attempt
 * after one that may have reached an endpoint is taken from the retry budget of this daemon. Of a request that another
 * daemon relayed, one attempt is made, which that daemon has counted.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { FailureError, type ResultName } from '@dogwoodstall/results';
import type { Route } from '@dogwoodstall/traffic';
import {
  type AttemptConnection,
  type AttemptOptions,
  type AttemptResult,
  type EndpointResponse,
  sendAttempt,
} from './attempt.js';
import { classifyHedge, createSlotReport, hasArrived, isMeasured } from './attempt-outcomes.js';
import type { Hedge } from './hedge.js';
import type { Hedging } from './hedging.js';
import type { RelayState } from './relay.js';
import { type RetryBudgets, type SlotDecision, type SlotSource, unusedReport } from './slots.js';

/** An attempt as recorded in the log. */
export interface AttemptRecord {
  readonly endpoint: string;
  readonly outcome: string;
  readonly milliseconds: number;
  /** Why the attempt got no complete response; undefined if it got one. */
  readonly reason: string | undefined;
  readonly connection: AttemptConnection | undefined;
  /** Whether it was made beside an earlier attempt that was late. */
  readonly hedge: boolean;
}

/** A request, independent of the connection it arrived on. */
export interface RequestContext {
  readonly requestId: string | undefined;
  readonly service: string;
  readonly route: Route;
  /** Organisation of the caller; undefined if it has none. */
  readonly organisation: string | undefined;
  /** Priority of the request; 0 is served first. */
  readonly priority: number;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  readonly deadlineAt: number;
  readonly fingerprint: string;
  /** Set if another daemon relayed the request. */
  readonly relayed: RelayState | undefined;
  /** Whether this daemon may relay the request. */
  readonly mayRelay: boolean;
}

/** Options of `executeRequest`. */
export interface RequestExecutionOptions {
  readonly context: RequestContext;
  readonly slots: SlotSource;
  readonly retryBudgets: RetryBudgets;
  readonly hedging: Hedging;
  readonly attemptOptions: Pick<
    AttemptOptions,
    'pool' | 'protocol' | 'responseMemory' | 'onUnreadableAnnouncement'
  >;
  /** Called when there was no descriptor for a connection to an endpoint; frees some. */
  readonly onDescriptorShortage: () => void;
  /** Aborted at the deadline and when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly recordAttempt: (record: AttemptRecord) => void;
}

/** The final response or failure of a request. */
export type RequestResult =
  | { readonly kind: 'answer'; readonly response: EndpointResponse }
  | {
      readonly kind: 'failure';
      readonly failure: FailureError;
      /** Milliseconds after which the caller may retry; set only if the request was not run. */
      readonly retryAfter: number | undefined;
      /** Whether the request may have reached an endpoint, which may have rejected it. */
      readonly hasArrived: boolean;
    };

/** Minimum retry delay sent to the caller when the request was not run. */
const MINIMUM_RETRY_MILLISECONDS = 200;
/** No attempt is started with less time than this before the deadline, since it would waste a slot. */
const MINIMUM_ATTEMPT_MILLISECONDS = 15;

/** Attempts allowed beyond the maximum of the route when earlier ones could not connect to their endpoint. */
const MAXIMUM_UNSENT_ATTEMPTS = 4;

/** Reason of all aborts at the end of a request; an abort without a reason creates an error with its stack. */
const requestEnded = new Error('request has ended');

type RunningAttemptResult =
  | { readonly kind: 'refused'; readonly decision: Extract<SlotDecision, { kind: 'refused' }> }
  /** The slot was granted too late to use it. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'ended'; readonly attemptResult: AttemptResult };

interface RunningAttempt {
  readonly number: number;
  readonly done: Promise<{ readonly number: number; readonly result: RunningAttemptResult }>;
  /** Resolves when no response has arrived within the hedge delay. */
  readonly hedgeDelayExpired: Promise<'silent'>;
  readonly abortController: AbortController;
}

const resultByRefusalReason: Readonly<
  Record<Extract<SlotDecision, { kind: 'refused' }>['reason'], ResultName>
> = {
  'no-endpoint': 'NoEndpoint',
  overload: 'DeadlineUnreachable',
  'retry-budget': 'RetryBudgetExhausted',
  crashing: 'CrashingRequestHeld',
  stopping: 'NotReady',
};

function readRefusal(result: Exclude<RunningAttemptResult, { kind: 'ended' }>) {
  return result.kind === 'refused' ? result.decision.reason : 'expired';
}

/** Runs the attempts of one request and decides on retries and hedging. */
class RequestExecution {
  private readonly excluded: string[] = [];

  private startedAttempts = 0;

  /** Attempts that reached an endpoint or may have reached one. */
  private sentAttempts = 0;

  private mayHaveRun = false;

  /** Whether the hedge delay has expired; a request is hedged at most once. */
  private hedged = false;

  private hedgeDelay: number | undefined;

  /** Resolves when a hedge that was refused may be tried again. */
  private postponed: Promise<'silent'> | undefined;

  private readonly endAbort = new AbortController();

  private errorResponse: EndpointResponse | undefined;

  private failure: FailureError | undefined;

  private retryAfter = MINIMUM_RETRY_MILLISECONDS;

  constructor(private readonly options: RequestExecutionOptions) {}

  async run(): Promise<RequestResult> {
    const { context, retryBudgets, hedging } = this.options;
    if (context.relayed === undefined) {
      retryBudgets.countRequest(context.service);
      hedging.countRequest(context);
    }
    try {
      return await this.runAttempts();
    } finally {
      this.endAbort.abort(requestEnded);
    }
  }

  private async runAttempts(): Promise<RequestResult> {
    const running = new Map<number, RunningAttempt>();
    const start = (hedge?: Hedge): void => {
      const started = this.startAttempt(hedge);
      running.set(started.number, started);
    };
    start();
    while (running.size > 0) {
      const event = await this.nextEvent(running);
      if (event === 'silent') {
        this.hedged = true;
        const hedge = this.tryBeginHedge();
        if (hedge === undefined) {
          this.postponeHedge();
        } else {
          start(hedge);
        }
      } else {
        running.delete(event.number);
        const response = this.evaluate(event.result);
        if (response !== undefined) {
          for (const { abortController } of running.values()) {
            abortController.abort(requestEnded);
          }
          return { kind: 'answer', response };
        }
        if (running.size === 0 && this.shouldRetry(event.result)) {
          start();
        } else if (event.result.kind === 'refused') {
          this.postponeHedge();
        }
      }
    }
    return this.createResult();
  }

  private nextEvent(
    running: ReadonlyMap<number, RunningAttempt>,
  ): Promise<Awaited<RunningAttempt['done']> | 'silent'> {
    const events: Promise<Awaited<RunningAttempt['done']> | 'silent'>[] = [];
    if (!this.hedged && this.postponed !== undefined) {
      events.push(this.postponed);
    }
    for (const { done, hedgeDelayExpired } of running.values()) {
      events.push(done);
      if (!this.hedged && this.postponed === undefined) {
        events.push(hedgeDelayExpired);
      }
    }
    return Promise.race(events);
  }

  private tryBeginHedge(): Hedge | undefined {
    const { context, hedging, retryBudgets } = this.options;
    return this.canStartAttempt() ? hedging.tryBegin(context, retryBudgets) : undefined;
  }

  /** Lets a request whose hedge was refused be hedged after the same delay again. */
  private postponeHedge(): void {
    if (this.hedgeDelay === undefined || !this.options.hedging.isLimited) {
      return;
    }
    this.hedged = false;
    this.postponed = delay(this.hedgeDelay, 'silent' as const, {
      signal: this.endAbort.signal,
    }).catch(() => 'silent' as const);
  }

  private startAttempt(hedge: Hedge | undefined): RunningAttempt {
    this.startedAttempts += 1;
    const number = this.startedAttempts;
    const abortController = new AbortController();
    const signal = AbortSignal.any([this.options.signal, abortController.signal]);
    let onHedgeDelay = (): void => {};
    const hedgeDelayExpired = new Promise<'silent'>((resolve) => {
      onHedgeDelay = () => resolve('silent');
    });
    const done = this.runAttempt(signal, onHedgeDelay, hedge).then((result) => {
      if (result.kind !== 'ended') {
        hedge?.refuse(signal.aborted ? 'not-needed' : readRefusal(result));
      }
      return { number, result };
    });
    return { number, done, hedgeDelayExpired, abortController };
  }

  private async runAttempt(
    signal: AbortSignal,
    onHedgeDelay: () => void,
    hedge: Hedge | undefined,
  ): Promise<RunningAttemptResult> {
    const { context, slots, retryBudgets, hedging } = this.options;
    const { service, relayed } = context;
    if (this.sentAttempts > 0 && !retryBudgets.canRetry(service)) {
      return this.createBudgetRefusal();
    }
    const decision = await slots.acquire(
      {
        requestId: context.requestId ?? '',
        service,
        route: context.route,
        organisation: context.organisation,
        priority: context.priority,
        deadlineAt: context.deadlineAt,
        repeated: this.sentAttempts > 0 || relayed?.repeated === true,
        mayProbe: relayed === undefined && retryBudgets.mayProbe(service),
        bodyBytes: context.body?.length ?? 0,
        fingerprint: context.fingerprint,
        excluded: this.excluded,
        relayed: !context.mayRelay,
        maximumLoad: hedge?.maximumLoad,
      },
      signal,
    );
    if (decision.kind === 'refused') {
      return { kind: 'refused', decision };
    }
    const { slot } = decision;
    // A paused process may receive a grant after the deadline and before its timers run.
    if (context.deadlineAt - performance.now() < MINIMUM_ATTEMPT_MILLISECONDS) {
      slot.report(unusedReport);
      return { kind: 'expired' };
    }
    const repeated = this.sentAttempts > 0;
    const giveBack = repeated ? retryBudgets.take(service) : undefined;
    if (repeated && giveBack === undefined) {
      slot.report(unusedReport);
      return this.createBudgetRefusal();
    }
    this.excluded.push(slot.endpoint);
    const { fingerprint, organisation } = context;
    const relay =
      slot.viaPeer === true
        ? { attemptsLeft: 1, repeated, service, organisation, fingerprint }
        : undefined;
    this.sentAttempts += 1;
    const hedgeDelay = hedging.getDelay(context.route, slot.hedgeAfter);
    let hedgeTimer: NodeJS.Timeout | undefined;
    if (hedgeDelay !== undefined) {
      this.hedgeDelay = hedgeDelay;
      hedgeTimer = setTimeout(onHedgeDelay, hedgeDelay);
    }
    hedge?.start();
    const attemptResult = await sendAttempt({
      ...this.options.attemptOptions,
      address: slot.address,
      maximumIdleMilliseconds: slot.maximumIdleMilliseconds,
      context: {
        requestId: context.requestId,
        endpoint: slot.endpoint,
        remainingMilliseconds: Math.max(1, context.deadlineAt - performance.now()),
        organisation,
      },
      relay,
      method: context.method,
      target: context.target,
      headers: context.headers,
      body: context.body,
      signal,
    });
    clearTimeout(hedgeTimer);
    const { kind } = attemptResult.outcome;
    if (kind === 'no-descriptor') {
      this.options.onDescriptorShortage();
      this.excluded.splice(this.excluded.indexOf(slot.endpoint), 1);
    }
    const arrived = hasArrived(attemptResult.outcome);
    if (!arrived) {
      this.sentAttempts -= 1;
      giveBack?.();
    }
    hedge?.end(classifyHedge(attemptResult.outcome), arrived);
    if (!repeated && hedgeDelay !== undefined && isMeasured(attemptResult, hedgeDelay)) {
      hedging.recordTime(context.route, attemptResult.elapsed);
    }
    const superseded = kind === 'abandoned' && !this.options.signal.aborted;
    const { connection, ...measuredAttempt } = attemptResult;
    const report = { ...createSlotReport(measuredAttempt), superseded };
    slot.report(report);
    this.options.recordAttempt({
      endpoint: slot.endpoint,
      outcome: report.outcome,
      milliseconds: Math.round(report.elapsed),
      reason: 'reason' in attemptResult.outcome ? attemptResult.outcome.reason : undefined,
      connection,
      hedge: hedge !== undefined,
    });
    return { kind: 'ended', attemptResult };
  }

  private createBudgetRefusal(): RunningAttemptResult {
    const retryAfter = this.options.context.route.targetMilliseconds;
    return { kind: 'refused', decision: { kind: 'refused', reason: 'retry-budget', retryAfter } };
  }

  /** Returns the response if it completes the request; otherwise records what the attempt revealed. */
  private evaluate(result: RunningAttemptResult): EndpointResponse | undefined {
    if (result.kind === 'refused') {
      this.retryAfter = Math.max(this.retryAfter, result.decision.retryAfter);
      this.failure ??= new FailureError(resultByRefusalReason[result.decision.reason]);
      return undefined;
    }
    if (result.kind === 'expired') {
      this.failure ??= new FailureError('DeadlineUnreachable');
      return undefined;
    }
    const { outcome } = result.attemptResult;
    switch (outcome.kind) {
      case 'answer':
        if (outcome.response.status < 500) {
          return outcome.response;
        }
        this.mayHaveRun = true;
        this.errorResponse = outcome.response;
        return undefined;
      case 'shed':
      case 'not-arrived':
        this.failure = new FailureError('BackendShed');
        return undefined;
      case 'broken':
        this.mayHaveRun = true;
        this.failure = new FailureError('BackendReset', outcome.reason);
        return undefined;
      case 'abandoned':
        this.mayHaveRun ||= outcome.sent;
        return undefined;
      case 'no-descriptor':
        this.failure = new FailureError('DaemonFull');
        return undefined;
      default:
        this.failure = new FailureError('NoEndpoint');
        return undefined;
    }
  }

  private get maximumAttempts(): number {
    const { route, relayed } = this.options.context;
    return relayed === undefined ? route.maximumAttempts : Math.min(1, relayed.attemptsLeft);
  }

  private canStartAttempt(): boolean {
    const { context, signal } = this.options;
    return (
      !signal.aborted &&
      this.sentAttempts < this.maximumAttempts &&
      this.startedAttempts < this.maximumAttempts + MAXIMUM_UNSENT_ATTEMPTS &&
      context.deadlineAt - performance.now() > MINIMUM_ATTEMPT_MILLISECONDS
    );
  }

  private shouldRetry(result: RunningAttemptResult): boolean {
    if (result.kind !== 'ended' || !this.canStartAttempt()) {
      return false;
    }
    return this.options.context.route.idempotent || !this.mayHaveRun;
  }

  private createResult(): RequestResult {
    if (this.errorResponse !== undefined) {
      return { kind: 'answer', response: this.errorResponse };
    }
    const { signal } = this.options;
    if (this.mayHaveRun) {
      const timedOut = signal.aborted && signal.reason instanceof FailureError;
      const failure = timedOut ? signal.reason : this.failure;
      const unknownExecutionFailure = failure?.execution === 'not-known' ? failure : undefined;
      return {
        kind: 'failure',
        failure: unknownExecutionFailure ?? new FailureError('BackendReset'),
        retryAfter: undefined,
        hasArrived: true,
      };
    }
    return {
      kind: 'failure',
      failure: this.failure ?? new FailureError('DeadlineUnreachable'),
      retryAfter: this.retryAfter,
      hasArrived: this.sentAttempts > 0,
    };
  }
}

/** Sends a request to endpoints; resolves with the response or failure to send to the caller. */
export function executeRequest(options: RequestExecutionOptions): Promise<RequestResult> {
  return new RequestExecution(options).run();
}
