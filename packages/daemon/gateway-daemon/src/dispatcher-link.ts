/**
 * The entry side of the datagrams: asks the dispatcher of a cell for slots, turns to the next daemon when it does not
 * answer, to this daemon itself when none does, and to another cell when the first one has no room.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import type * as gateway from '@dogwoodstall/gateway';
import type * as grants from '@dogwoodstall/grants';
import type { Candidates, DispatcherTarget } from './candidates.js';
import type { CellChoice } from './cell-choice.js';
import type { Answer } from './dispatcher-role.js';

/** An ask without any answer is sent again after this; some round trips between zones. */
const RESEND_MILLISECONDS = 25;
/** A dispatcher that has not answered by then is passed over. */
const PASS_OVER_MILLISECONDS = 60;
/** While a request waits, the ask is repeated at this interval to notice a lost dispatcher. */
const WAITING_CHECK_MILLISECONDS = 150;
/** A report without an acknowledgement is sent again after these times. */
const REPORT_RESEND_MILLISECONDS = [40, 120, 400];
/** Cells of a service that are asked for one slot at most. */
const MAXIMUM_CELLS = 3;
/** Dispatchers of a cell that are asked for one slot at most. */
const MAXIMUM_DISPATCHERS = 3;
const STOPPING_RETRY_MILLISECONDS = 200;
const BYTES_PER_KILOBYTE = 1024;
const PERCENT = 100;

/** Options of `DispatcherLink`. */
export interface DispatcherLinkOptions {
  readonly zone: string;
  readonly candidates: Candidates;
  readonly cells: CellChoice;
  readonly send: (message: datagrams.Message, target: DispatcherTarget) => void;
  /** Answers asks and reports of this daemon to itself. */
  readonly local: {
    readonly ask: (ask: datagrams.Ask, tell: (answer: Answer) => void) => void;
    readonly withdraw: (askId: number) => void;
    readonly report: (report: datagrams.Report) => void;
  };
  readonly onPassOver: (target: DispatcherTarget, cell: string) => void;
}

interface PendingAsk {
  readonly target: DispatcherTarget;
  readonly onAnswer: (answer: Answer) => void;
}

type AskEnd = gateway.SlotDecision | 'pass-over';
type SlotRefusal = Extract<gateway.SlotDecision, { kind: 'refused' }>;

/** Refusals after which another cell of the service may have room. */
const movableReasons: ReadonlySet<SlotRefusal['reason']> = new Set(['overload', 'no-endpoint']);
const noDispatcher: SlotRefusal = {
  kind: 'refused',
  reason: 'overload',
  retryAfter: STOPPING_RETRY_MILLISECONDS,
};

/** Acquires slots from dispatchers. */
export class DispatcherLink implements gateway.SlotSource {
  private readonly asks = new Map<number, PendingAsk>();

  private readonly reports = new Map<string, NodeJS.Timeout>();

  private lastAskId = Math.floor(Math.random() * 1_000_000) * 1000;

  constructor(private readonly options: DispatcherLinkOptions) {}

  async acquire(
    ask: gateway.SlotAcquireOptions,
    signal: AbortSignal,
  ): Promise<gateway.SlotDecision> {
    const tried = new Set<string>();
    let refusal: SlotRefusal | undefined;
    while (!signal.aborted && tried.size < MAXIMUM_CELLS) {
      const cell = this.options.cells.choose(ask.service, tried);
      if (cell === undefined) {
        break;
      }
      const decision = await this.acquireIn(cell, ask, tried.size > 0, signal);
      tried.add(cell.name);
      if (decision.kind === 'slot' || !movableReasons.has(decision.reason)) {
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
    moved: boolean,
    signal: AbortSignal,
  ): Promise<gateway.SlotDecision> {
    const tried = new Set<string>();
    while (!signal.aborted && tried.size < MAXIMUM_DISPATCHERS) {
      const target = this.options.candidates.choose(cell, tried);
      // This daemon is the last choice, also when it was passed over before.
      if (tried.has(target.name)) {
        break;
      }
      tried.add(target.name);
      const end = await this.askOne(target, cell.name, ask, moved, signal);
      if (end !== 'pass-over') {
        return end;
      }
      this.options.candidates.markSilent(target.name);
      this.options.onPassOver(target, cell.name);
    }
    return noDispatcher;
  }

  /** Takes an answer from the network. */
  receive(answer: Answer, from: DispatcherTarget): void {
    const askId = typeof answer[1] === 'number' ? answer[1] : answer[1].askId;
    const pending = this.asks.get(askId);
    if (pending !== undefined && pending.target.host === from.host) {
      pending.onAnswer(answer);
    } else if (answer[0] === 'grant') {
      // The request has ended or another dispatcher decided about it.
      this.sendReport(from, answer[1].grantId, {
        outcome: 'unused',
        elapsed: 0,
        load: undefined,
        silent: true,
        idleMilliseconds: 0,
      });
    }
  }

  /** Takes an acknowledgement from the network. */
  acknowledge(grantId: number, from: DispatcherTarget): void {
    const key = `${from.host}/${grantId}`;
    clearTimeout(this.reports.get(key));
    this.reports.delete(key);
  }

  close(): void {
    for (const timer of this.reports.values()) {
      clearTimeout(timer);
    }
  }

  private askOne(
    target: DispatcherTarget,
    cell: string,
    ask: gateway.SlotAcquireOptions,
    moved: boolean,
    signal: AbortSignal,
  ): Promise<AskEnd> {
    this.lastAskId += 1;
    const askId = this.lastAskId;
    const { route } = ask;
    const content: datagrams.Ask = {
      askId,
      cell,
      route: route.name,
      zone: this.options.zone,
      idempotent: route.idempotent,
      priority: route.priority,
      remaining: Math.round(ask.deadlineAt - performance.now()),
      target: route.targetMilliseconds,
      repeated: ask.repeated,
      moved,
      kilobytes: Math.round(ask.bodyBytes / BYTES_PER_KILOBYTE),
      fingerprint: ask.fingerprint,
      excluded: [...ask.excluded],
    };
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      let onAbort = (): void => {};
      const settle = (end: AskEnd): void => {
        clearTimeout(timer);
        this.asks.delete(askId);
        signal.removeEventListener('abort', onAbort);
        resolve(end);
      };
      onAbort = () => {
        this.withdraw(target, askId);
        settle(noDispatcher);
      };
      const passOver = (): void => {
        this.withdraw(target, askId);
        settle('pass-over');
      };
      const resend = (): void => {
        this.options.send(['ask', content], target);
        timer = setTimeout(passOver, PASS_OVER_MILLISECONDS - RESEND_MILLISECONDS);
      };
      const onAnswer = (answer: Answer): void => {
        if (answer[0] !== 'queued') {
          this.options.cells.note(cell, answer[1].load / PERCENT);
          settle(this.decide(target, answer));
          return;
        }
        clearTimeout(timer);
        if (!target.isSelf) {
          timer = setTimeout(resend, WAITING_CHECK_MILLISECONDS);
        }
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.asks.set(askId, { target, onAnswer });
      if (target.isSelf) {
        this.options.local.ask(content, onAnswer);
      } else {
        this.options.send(['ask', content], target);
        timer = setTimeout(resend, RESEND_MILLISECONDS);
      }
    });
  }

  private decide(
    target: DispatcherTarget,
    answer: Exclude<Answer, readonly ['queued', number]>,
  ): AskEnd {
    if (answer[0] === 'grant') {
      return { kind: 'slot', slot: this.createSlot(target, answer[1]) };
    }
    const { reason, retryAfter } = answer[1];
    return reason === 'stopping' ? 'pass-over' : { kind: 'refused', reason, retryAfter };
  }

  private withdraw(target: DispatcherTarget, askId: number): void {
    if (target.isSelf) {
      this.options.local.withdraw(askId);
    } else {
      this.options.send(['withdraw', askId], target);
    }
  }

  private createSlot(target: DispatcherTarget, grant: datagrams.Grant): gateway.Slot {
    return {
      endpoint: grant.endpoint,
      address: grant.address,
      hedgeAfter: grant.hedgeAfter,
      maximumIdleMilliseconds: grant.reuseWithin,
      report: (end) => this.sendReport(target, grant.grantId, end),
    };
  }

  private sendReport(target: DispatcherTarget, grantId: number, end: gateway.SlotReport): void {
    const report: datagrams.Report = {
      grantId,
      outcome: end.outcome,
      elapsed: Math.round(end.elapsed),
      load: end.load ?? -1,
      silent: end.silent,
      rested: Math.round(end.idleMilliseconds),
    };
    if (target.isSelf) {
      this.options.local.report(report);
      return;
    }
    const key = `${target.host}/${grantId}`;
    const send = (attempt: number): void => {
      this.options.send(['report', report], target);
      const wait = REPORT_RESEND_MILLISECONDS[attempt];
      if (wait === undefined) {
        this.reports.delete(key);
      } else {
        this.reports.set(
          key,
          setTimeout(() => send(attempt + 1), wait),
        );
      }
    };
    send(0);
  }
}
