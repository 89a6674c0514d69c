/**
 * Runs an open-loop load. Requests start at their intended times whether or not earlier responses
 * have arrived. Latencies are measured from the intended times, so that a stall of the service shows
 * in the latency of every request that it delays.
 */
import { setImmediate as yieldToEvents, setTimeout as sleep } from 'node:timers/promises';
import { generateArrivals, type RateProfile } from './arrivals.js';
import { runAttempt, type VerifierFactory } from './attempt.js';
import { runKeyedRequest, type KeyedRequestResult } from './keyed-request.js';
import type { AttemptObservation, AttemptResult, KeyRecord, RequestOutcome } from './outcome.js';
import { ClassPicker, type RequestClass } from './request-class.js';
import { LoadSummary } from './load-summary.js';
import { TargetConnections, createRoundRobin, type TargetChooser } from './target.js';

const DEFAULT_CONNECTIONS = 256;
const DEFAULT_INTERVAL_MILLISECONDS = 1000;
const DEFAULT_RESENDS = 2;
// Timers fire up to 2 ms late, which would count as latency of the service.
const TIMER_TOLERANCE_MILLISECONDS = 2;

/** Options of a load. */
export interface LoadOptions {
  /** `IP address:port` of each target. */
  readonly targets: readonly string[];
  readonly chooseTarget?: TargetChooser;
  readonly classes: readonly RequestClass[];
  readonly arrivals: 'constant' | 'poisson';
  readonly profile: RateProfile;
  readonly durationMilliseconds: number;
  readonly seed: number;
  /** Connections for each target. */
  readonly connections?: number;
  readonly intervalMilliseconds?: number;
  /** Requests whose intended start is in this initial period are sent but not summarised. */
  readonly warmUpMilliseconds?: number;
  /** Creates verifiers that check that responses are complete and belong to their request. */
  readonly createVerifier?: VerifierFactory;
  /** Maximum number of resends with the same idempotency key. */
  readonly maximumResends?: number;
  /** Share of the requests with an idempotency key that are sent twice concurrently. */
  readonly sendTwiceShare?: number;
  /** Maximum delay before a resend with the same key; each delay is drawn between 0 and this value. */
  readonly longestResendDelayMilliseconds?: number;
  /** Share of the requests with an idempotency key that are resent after their outcome is known. */
  readonly resendCompletedShare?: number;
  /** Called after each HTTP exchange. */
  readonly onAttempt?: (attempt: AttemptObservation) => void;
  /** Called with the outcome of each request. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
  /** Stops the start of new requests; started requests are completed. */
  readonly signal?: AbortSignal;
}

/** Results of a load. */
export interface LoadResult {
  readonly seed: number;
  readonly durationMilliseconds: number;
  readonly summary: LoadSummary;
  readonly keys: readonly KeyRecord[];
  /** Largest delay of a start after its intended time; a large value means an overloaded load generator. */
  readonly largestStartDelayMilliseconds: number;
}

async function waitUntil(startAt: number): Promise<void> {
  const wait = startAt - performance.now();
  if (wait > TIMER_TOLERANCE_MILLISECONDS) {
    await sleep(wait - TIMER_TOLERANCE_MILLISECONDS);
  }
  // A load generator that is behind schedule must still process responses between its starts.
  do {
    await yieldToEvents();
  } while (performance.now() < startAt);
}

class LoadRun {
  private readonly options: LoadOptions;

  private readonly picker: ClassPicker;

  private readonly targets: readonly TargetConnections[];

  private readonly chooseTarget: TargetChooser;

  private readonly summary: LoadSummary;

  private readonly keys: KeyRecord[] = [];

  private startedAt = 0;

  private largestStartDelay = 0;

  private requestNumber = 0;

  constructor(options: LoadOptions) {
    this.options = options;
    // The arrivals use the seed itself; the classes need an independent sequence.
    this.picker = new ClassPicker(options.classes, options.seed + 1);
    this.chooseTarget = options.chooseTarget ?? createRoundRobin();
    this.summary = new LoadSummary(options.intervalMilliseconds ?? DEFAULT_INTERVAL_MILLISECONDS);
    const connections = options.connections ?? DEFAULT_CONNECTIONS;
    this.targets = options.targets.map((target) => new TargetConnections(target, connections));
  }

  async run(): Promise<LoadResult> {
    const pending = new Set<Promise<void>>();
    this.startedAt = performance.now();
    for (const intendedAt of generateArrivals({ ...this.options, kind: this.options.arrivals })) {
      await waitUntil(this.startedAt + intendedAt);
      if (this.options.signal?.aborted === true) {
        break;
      }
      this.largestStartDelay = Math.max(this.largestStartDelay, this.now() - intendedAt);
      const request = this.runRequest(intendedAt).finally(() => pending.delete(request));
      pending.add(request);
    }
    await Promise.all(pending);
    await Promise.all(this.targets.map((target) => target.pool.destroy()));
    return {
      seed: this.options.seed,
      durationMilliseconds: this.options.durationMilliseconds,
      summary: this.summary,
      keys: this.keys,
      largestStartDelayMilliseconds: this.largestStartDelay,
    };
  }

  private now(): number {
    return performance.now() - this.startedAt;
  }

  private async runRequest(intendedAt: number): Promise<void> {
    const requestClass = this.picker.drawClass();
    this.requestNumber += 1;
    const token = `${this.options.seed}-${this.requestNumber}`;
    const flow = await this.runFlow(requestClass, token, intendedAt);
    if (flow.record !== undefined) {
      this.keys.push(flow.record);
    }
    const outcome: RequestOutcome = {
      ...flow.result,
      className: requestClass.name,
      intendedAt,
      latencyMilliseconds: this.now() - intendedAt,
      attempts: flow.attempts,
    };
    if (intendedAt >= (this.options.warmUpMilliseconds ?? 0)) {
      this.summary.record(outcome);
    }
    this.options.onOutcome?.(outcome);
  }

  private async runFlow(
    requestClass: RequestClass,
    token: string,
    intendedAt: number,
  ): Promise<KeyedRequestResult> {
    const deadlineAt = this.startedAt + intendedAt + requestClass.deadlineMilliseconds;
    const send = (key: string | undefined): Promise<AttemptResult> =>
      this.send(requestClass, token, key, deadlineAt);
    if (requestClass.idempotent) {
      return { result: await send(undefined), record: undefined, attempts: 1 };
    }
    return runKeyedRequest({
      className: requestClass.name,
      send,
      maximumResends: this.options.maximumResends ?? DEFAULT_RESENDS,
      sendTwice: this.picker.drawNumber() < (this.options.sendTwiceShare ?? 0),
      resendCompleted: this.picker.drawNumber() < (this.options.resendCompletedShare ?? 0),
      drawResendDelay: () =>
        this.picker.drawNumber() * (this.options.longestResendDelayMilliseconds ?? 0),
      now: () => this.now(),
    });
  }

  private async send(
    requestClass: RequestClass,
    token: string,
    idempotencyKey: string | undefined,
    deadlineAt: number,
  ): Promise<AttemptResult> {
    const index = this.chooseTarget(this.targets, () => this.picker.drawNumber());
    const target = this.targets[index] as TargetConnections;
    target.outstanding += 1;
    const startedAt = this.now();
    const result = await runAttempt({
      dispatcher: target.pool,
      origin: `http://${target.address}`,
      requestClass,
      token,
      idempotencyKey,
      createVerifier: this.options.createVerifier,
      deadlineAt,
    });
    target.outstanding -= 1;
    this.options.onAttempt?.({
      ...result,
      className: requestClass.name,
      target: target.address,
      sentKey: idempotencyKey,
      startedAt,
      endedAt: this.now(),
    });
    return result;
  }
}

/** Runs a load to its end and returns its results. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  return new LoadRun(options).run();
}
