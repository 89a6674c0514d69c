/**
 * Client of the dispatchers: requests slots of a cell by datagram. If the dispatcher does not respond, fails over to the
 * next daemon and finally to this daemon itself; if the cell has no free capacity, tries another cell of the service.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import * as gateway from '@dogwoodstall/gateway';
import type * as grants from '@dogwoodstall/grants';
import type { Announcement } from '@dogwoodstall/traffic';
import { AnnouncedHolds, type HoldReason } from './announced-holds.js';
import type { Candidates, DispatcherTarget } from './candidates.js';
import type { CellSelector } from './cell-selector.js';
import type { CrashRecordExchange } from './crash-record-exchange.js';
import type { OwnResponse, SlotResponse } from './dispatcher-role.js';
import type { SilentAttempt } from './silent-attempts.js';

/** A slot request without a response is sent again after this time, which covers some round trips between zones. */
const RESEND_MILLISECONDS = 25;
/** A dispatcher that has not responded after this time is skipped. */
const FAILOVER_MILLISECONDS = 60;
/** Interval at which the slot request of a queued request is sent again, to detect the loss of the dispatcher. */
const QUEUED_CHECK_MILLISECONDS = 150;
/** Delays after which a report without an acknowledgement is sent again. */
const REPORT_RESEND_MILLISECONDS = [40, 120, 400];
/** Maximum number of cells that are tried for one slot. */
const MAXIMUM_CELLS = 3;
/** Maximum number of dispatchers of a cell that are tried for one slot. */
const MAXIMUM_DISPATCHERS = 3;
/** Maximum number of granted endpoints that are not used for one slot because they told this daemon so. */
const MAXIMUM_HELD_GRANTS = 8;
/** Delay after which the caller may retry when no dispatcher has responded. */
const NO_DISPATCHER_RETRY_MILLISECONDS = 200;
const BYTES_PER_KILOBYTE = 1024;
const PERCENT = 100;

/** Options of `DispatcherClient`. */
export interface DispatcherClientOptions {
  readonly zone: string;
  readonly candidates: Candidates;
  readonly cells: CellSelector;
  readonly crashRecords: Pick<
    CrashRecordExchange,
    'shouldRefuse' | 'recordReset' | 'recordSuccess'
  >;
  /** Called when an attempt of an unanswered request got no response for longer than the endpoint usually takes. */
  readonly onSilence: (attempt: SilentAttempt) => void;
  readonly send: (message: datagrams.Message, target: DispatcherTarget) => void;
  /** Dispatcher of this daemon, which is called directly instead of by datagram. */
  readonly local: {
    readonly ask: (ask: datagrams.Ask, respond: (response: SlotResponse) => void) => void;
    readonly withdraw: (askId: number) => void;
    readonly report: (report: datagrams.Report) => void;
  };
  /** Whether this daemon knows that a process of an endpoint drains or has left after that. */
  readonly isLeaving: (endpoint: string, lifetime: number) => boolean;
  /** Called with each response of an endpoint to a request that another daemon granted. */
  readonly onResponse: (cell: string, response: OwnResponse) => void;
  /** Called when a dispatcher is skipped because it is stopping or did not respond in time. */
  readonly onFailover: (target: DispatcherTarget, cell: string) => void;
  /** Called when an endpoint tells this daemon to send it no requests for a time or for good. */
  readonly onHold: (endpoint: string, announcement: Announcement) => void;
  /** Called when a granted endpoint is not used because it told this daemon so. */
  readonly onHeld: (endpoint: string, hold: HoldReason) => void;
}

interface PendingSlotRequest {
  readonly target: DispatcherTarget;
  readonly onResponse: (response: SlotResponse) => void;
}

/** `held`: the granted endpoint may not be used by this daemon. */
type SlotRequestResult =
  gateway.SlotDecision | 'pass-over' | { readonly kind: 'held'; readonly endpoint: string };
type SlotRefusal = Extract<gateway.SlotDecision, { kind: 'refused' }>;

/** Outcomes of attempts to which the endpoint itself has responded. */
const RESPONDED: ReadonlySet<gateway.SlotReport['outcome']> = new Set(['success', 'error', 'shed']);
/** Refusals after which another cell of the service may have free capacity. */
const redirectableReasons: ReadonlySet<SlotRefusal['reason']> = new Set([
  'overload',
  'no-endpoint',
]);
const noDispatcher: SlotRefusal = {
  kind: 'refused',
  reason: 'overload',
  retryAfter: NO_DISPATCHER_RETRY_MILLISECONDS,
};

const drainingHold: HoldReason = {
  reason: 'draining',
  age: 0,
  announcement: { requestsPerSecond: null, leaving: true, pauseMilliseconds: 0 },
};

function createCrashRefusal({ route }: gateway.SlotAcquireOptions): SlotRefusal {
  return { kind: 'refused', reason: 'crashing', retryAfter: route.targetMilliseconds };
}

/** Acquires slots from dispatchers. */
export class DispatcherClient implements gateway.SlotSource {
  private readonly pendingRequests = new Map<number, PendingSlotRequest>();

  /** Resend timers of the reports that have not been acknowledged yet. */
  private readonly reportTimers = new Map<string, NodeJS.Timeout>();

  private readonly holds = new AnnouncedHolds();

  private lastAskId = Math.floor(Math.random() * 1_000_000) * 1000;

  constructor(private readonly options: DispatcherClientOptions) {}

  async acquire(
    ask: gateway.SlotAcquireOptions,
    signal: AbortSignal,
  ): Promise<gateway.SlotDecision> {
    const tried = new Set<string>();
    const startedAt = performance.now();
    let refusal: SlotRefusal | undefined;
    while (!signal.aborted && tried.size < MAXIMUM_CELLS) {
      if (this.options.crashRecords.shouldRefuse(ask.fingerprint)) {
        return createCrashRefusal(ask);
      }
      const cell = this.options.cells.select(ask.service, tried);
      if (cell === undefined) {
        break;
      }
      const waitedElsewhere = tried.size > 0 ? Math.round(performance.now() - startedAt) : 0;
      const decision = await this.acquireIn(cell, ask, waitedElsewhere, signal);
      tried.add(cell.name);
      const isFinal = decision.kind === 'slot' || !redirectableReasons.has(decision.reason);
      if (isFinal || ask.maximumLoad !== undefined) {
        return decision;
      }
      if (refusal === undefined || decision.retryAfter < refusal.retryAfter) {
        refusal = decision;
      }
    }
    return refusal ?? noDispatcher;
  }

  private async acquireIn(
    cell: grants.Cell,
    ask: gateway.SlotAcquireOptions,
    waitedElsewhere: number,
    signal: AbortSignal,
  ): Promise<gateway.SlotDecision> {
    const tried = new Set<string>();
    const held: string[] = [];
    while (!signal.aborted && tried.size < MAXIMUM_DISPATCHERS) {
      const isLast = tried.size === MAXIMUM_DISPATCHERS - 1;
      const target = isLast
        ? this.options.candidates.getSelf()
        : this.options.candidates.choose(cell, tried);
      // `choose` returns this daemon when no other is left, even if this daemon was tried before.
      if (tried.has(target.name)) {
        break;
      }
      tried.add(target.name);
      const excluded = [...ask.excluded, ...held];
      const result = await this.requestSlot(
        target,
        cell.name,
        { ...ask, excluded },
        waitedElsewhere,
        signal,
      );
      if (result === 'pass-over') {
        this.options.candidates.markUnresponsive(target.name);
        this.options.onFailover(target, cell.name);
      } else if (result.kind === 'held' && held.length < MAXIMUM_HELD_GRANTS) {
        held.push(result.endpoint);
        tried.delete(target.name);
      } else {
        return result.kind === 'held' ? noDispatcher : result;
      }
    }
    return noDispatcher;
  }

  /** Handles a response that arrived by datagram. */
  receive(response: SlotResponse, from: DispatcherTarget): void {
    const askId = typeof response[1] === 'number' ? response[1] : response[1].askId;
    const pending = this.pendingRequests.get(askId);
    if (pending !== undefined && pending.target.host === from.host) {
      pending.onResponse(response);
    } else if (response[0] === 'grant') {
      // Returns the slot, because the request has ended or another dispatcher has decided on it.
      this.sendReport(from, response[1].grantId, gateway.unusedReport);
    }
  }

  /** Handles the acknowledgement of a report. */
  acknowledge(grantId: number, from: DispatcherTarget): void {
    const key = `${from.host}/${grantId}`;
    clearTimeout(this.reportTimers.get(key));
    this.reportTimers.delete(key);
  }

  close(): void {
    for (const timer of this.reportTimers.values()) {
      clearTimeout(timer);
    }
  }

  private requestSlot(
    target: DispatcherTarget,
    cell: string,
    ask: gateway.SlotAcquireOptions,
    waitedElsewhere: number,
    signal: AbortSignal,
  ): Promise<SlotRequestResult> {
    this.lastAskId += 1;
    const askId = this.lastAskId;
    const { route } = ask;
    const content: datagrams.Ask = {
      askId,
      cell,
      route: route.name,
      zone: this.options.zone,
      idempotent: route.idempotent,
      priority: ask.priority,
      organisation: ask.organisation ?? '',
      remaining: Math.round(ask.deadlineAt - performance.now()),
      target: route.targetMilliseconds,
      repeated: ask.repeated,
      mayProbe: ask.mayProbe,
      moved: false,
      waitedElsewhere,
      kilobytes: Math.round(ask.bodyBytes / BYTES_PER_KILOBYTE),
      fingerprint: ask.fingerprint,
      excluded: [...ask.excluded],
      maximumLoad: ask.maximumLoad === undefined ? null : Math.round(ask.maximumLoad * PERCENT),
    };
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      let onAbort = (): void => {};
      const settle = (result: SlotRequestResult): void => {
        clearTimeout(timer);
        this.pendingRequests.delete(askId);
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      onAbort = () => {
        this.withdraw(target, askId);
        settle(noDispatcher);
      };
      const failOver = (): void => {
        this.withdraw(target, askId);
        settle('pass-over');
      };
      const resend = (): void => {
        this.options.send(['ask', content], target);
        timer = setTimeout(failOver, FAILOVER_MILLISECONDS - RESEND_MILLISECONDS);
      };
      const onResponse = (response: SlotResponse): void => {
        if (response[0] !== 'queued') {
          this.options.cells.recordLoad(cell, response[1].load / PERCENT);
          settle(this.createResult(target, cell, response, ask));
          return;
        }
        clearTimeout(timer);
        if (!target.isSelf) {
          timer = setTimeout(resend, QUEUED_CHECK_MILLISECONDS);
        }
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.pendingRequests.set(askId, { target, onResponse });
      if (target.isSelf) {
        this.options.local.ask(content, onResponse);
      } else {
        this.options.send(['ask', content], target);
        timer = setTimeout(resend, RESEND_MILLISECONDS);
      }
    });
  }

  private createResult(
    target: DispatcherTarget,
    cell: string,
    response: Exclude<SlotResponse, readonly ['queued', number]>,
    ask: gateway.SlotAcquireOptions,
  ): SlotRequestResult {
    if (response[0] === 'grant') {
      const { endpoint, lifetime, grantId } = response[1];
      if (this.options.crashRecords.shouldRefuse(ask.fingerprint)) {
        this.sendReport(target, grantId, gateway.unusedReport);
        return createCrashRefusal(ask);
      }
      const hold =
        this.holds.check(endpoint, lifetime, performance.now()) ??
        (this.options.isLeaving(endpoint, lifetime) ? drainingHold : undefined);
      if (hold === undefined) {
        return { kind: 'slot', slot: this.createSlot(target, cell, response[1], ask) };
      }
      this.sendReport(target, grantId, {
        ...gateway.unusedReport,
        announcement: hold.announcement,
      });
      this.options.onHeld(endpoint, hold);
      return { kind: 'held', endpoint };
    }
    const { reason, retryAfter } = response[1];
    return reason === 'stopping' ? 'pass-over' : { kind: 'refused', reason, retryAfter };
  }

  private withdraw(target: DispatcherTarget, askId: number): void {
    if (target.isSelf) {
      this.options.local.withdraw(askId);
    } else {
      this.options.send(['withdraw', askId], target);
    }
  }

  private createSlot(
    target: DispatcherTarget,
    cell: string,
    grant: datagrams.Grant,
    { fingerprint }: gateway.SlotAcquireOptions,
  ): gateway.Slot {
    return {
      endpoint: grant.endpoint,
      address: grant.address,
      hedgeAfter: grant.hedgeAfter,
      maximumIdleMilliseconds: grant.reuseWithin,
      report: (result) => {
        this.recordHold(grant, result.announcement);
        this.recordCrash(target, grant, fingerprint, result);
        if (!target.isSelf && RESPONDED.has(result.outcome)) {
          const { endpoint, lifetime } = grant;
          const { announcement, elapsed } = result;
          this.options.onResponse(cell, { endpoint, lifetime, announcement, elapsed });
        }
        this.sendReport(target, grant.grantId, result);
      },
    };
  }

  private recordHold(
    { endpoint, lifetime }: datagrams.Grant,
    announcement: Announcement | null,
  ): void {
    const now = performance.now();
    if (announcement !== null && this.holds.record(endpoint, lifetime, announcement, now)) {
      this.options.onHold(endpoint, announcement);
    }
  }

  private recordCrash(
    target: DispatcherTarget,
    { endpoint, lifetime, address, hedgeAfter }: datagrams.Grant,
    fingerprint: string,
    { outcome, silent, superseded, elapsed, idleMilliseconds: rested }: gateway.SlotReport,
  ): void {
    if (outcome === 'success') {
      this.options.crashRecords.recordSuccess(fingerprint, target);
    } else if (outcome === 'reset') {
      const reset = { fingerprint, endpoint, lifetime, address, silent, rested };
      this.options.crashRecords.recordReset(reset, target);
    } else if (outcome === 'abandoned' && silent && !superseded && elapsed >= hedgeAfter) {
      const { host, port } = target;
      const dispatcher = { host, port };
      this.options.onSilence({ fingerprint, endpoint, lifetime, address, dispatcher });
    }
  }

  private sendReport(target: DispatcherTarget, grantId: number, result: gateway.SlotReport): void {
    const report: datagrams.Report = {
      grantId,
      outcome: result.outcome,
      elapsed: Math.round(result.elapsed),
      load: result.load ?? -1,
      silent: result.silent,
      rested: Math.round(result.idleMilliseconds),
      announcement: result.announcement,
    };
    if (target.isSelf) {
      this.options.local.report(report);
      return;
    }
    const key = `${target.host}/${grantId}`;
    const send = (attempt: number): void => {
      this.options.send(['report', report], target);
      const resendDelay = REPORT_RESEND_MILLISECONDS[attempt];
      if (resendDelay === undefined) {
        this.reportTimers.delete(key);
      } else {
        this.reportTimers.set(
          key,
          setTimeout(() => send(attempt + 1), resendDelay),
        );
      }
    };
    send(0);
  }
}
