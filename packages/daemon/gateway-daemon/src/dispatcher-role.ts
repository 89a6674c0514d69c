/**
 * The dispatcher side of the datagrams: this daemon grants slots of the cells for which others ask it.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import * as grants from '@dogwoodstall/grants';
import type { Directory } from './directory.js';

/** A decision as it is told to the entry. */
export type Answer = Extract<datagrams.Message, readonly ['grant' | 'refuse' | 'queued', unknown]>;

/** What a dispatcher tells the next one about a cell. */
export type CellBelief = datagrams.Pong['cells'][number];

/** Options of `DispatcherRole`. */
export interface DispatcherRoleOptions {
  /** Name under which this daemon asks itself. */
  readonly self: string;
  readonly directory: Directory;
  /** The retry budget for a cell; small when another daemon is its dispatcher. */
  readonly retryBudget: (cell: string) => grants.RetryBudget;
  readonly onDecision: (
    cell: string,
    request: grants.SlotRequest,
    decision: grants.Decision,
  ) => void;
}

/** Answers to asks are remembered this long, for asks that are sent again. */
const ANSWER_KEPT_MILLISECONDS = 5000;
/** Interval at which waiting requests are looked at; without any, the timer does not run. */
const WAITING_TICK_MILLISECONDS = 20;
const FORGET_MILLISECONDS = 1000;
/** A daemon that was asked this recently is a dispatcher at work. */
const ACTIVE_MILLISECONDS = 3000;
/** Grant numbers of a process begin at a random multiple of the step. */
const GRANT_ID_STEP = 1_000_000;
const GRANT_ID_RANGE = 4000;
const PERCENT = 100;

interface Remembered {
  readonly cell: string;
  readonly at: number;
  answer: Answer;
  tell: (answer: Answer) => void;
}

/** Grants the slots of cells. */
export class DispatcherRole {
  private readonly cells = new Map<string, grants.CellDispatcher>();

  private readonly cellByGrant = new Map<number, grants.CellDispatcher>();

  private readonly remembered = new Map<string, Remembered>();

  private forgetTimer: NodeJS.Timeout | undefined;

  private waitingTimer: NodeJS.Timeout | undefined;

  private lastGrantId = 0;

  private lastAskAt = -Infinity;

  private readonly lastAskByCell = new Map<string, number>();

  private leaving = false;

  constructor(private readonly options: DispatcherRoleOptions) {
    // Grants of an earlier process under the same address must not be taken for those of this one.
    this.lastGrantId = Math.floor(Math.random() * GRANT_ID_RANGE) * GRANT_ID_STEP;
  }

  /** Whether other daemons asked lately. */
  get isActive(): boolean {
    return performance.now() - this.lastAskAt < ACTIVE_MILLISECONDS;
  }

  get stopping(): boolean {
    return this.leaving;
  }

  /** Sends entries to the next dispatcher from now on. */
  beginStop(): void {
    this.leaving = true;
    for (const dispatcher of this.cells.values()) {
      dispatcher.stop();
    }
  }

  start(): void {
    this.forgetTimer = setInterval(() => this.forget(), FORGET_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.forgetTimer);
    clearTimeout(this.waitingTimer);
  }

  /** Decides about an ask; `tell` is called at once and, after `queued`, once more. */
  ask(entry: string, ask: datagrams.Ask, tell: (answer: Answer) => void): void {
    this.lastAskAt = performance.now();
    this.lastAskByCell.set(ask.cell, this.lastAskAt);
    const key = `${entry}/${ask.askId}`;
    const known = this.remembered.get(key);
    if (known !== undefined) {
      known.tell = tell;
      tell(known.answer);
      return;
    }
    // Requests of its own are served to the end, because no other daemon may answer.
    if (this.leaving && entry !== this.options.self) {
      tell(['refuse', { askId: ask.askId, reason: 'stopping', retryAfter: 0, load: 0 }]);
      return;
    }
    const remembered: Remembered = {
      cell: ask.cell,
      at: performance.now(),
      answer: ['queued', ask.askId],
      tell,
    };
    this.remembered.set(key, remembered);
    const waits = this.open(ask.cell).ask({
      key,
      entry,
      zone: ask.zone,
      route: ask.route,
      idempotent: ask.idempotent,
      priority: ask.priority,
      remaining: ask.remaining,
      target: ask.target,
      repeated: ask.repeated,
      moved: ask.moved,
      kilobytes: ask.kilobytes,
      fingerprint: ask.fingerprint,
      excluded: new Set(ask.excluded),
    });
    if (waits) {
      this.scheduleTick();
      tell(remembered.answer);
    }
  }

  withdraw(entry: string, askId: number): void {
    const key = `${entry}/${askId}`;
    const known = this.remembered.get(key);
    if (known !== undefined) {
      this.cells.get(known.cell)?.withdraw(key);
    }
  }

  report(report: datagrams.Report): void {
    const cell = this.cellByGrant.get(report.grantId);
    this.cellByGrant.delete(report.grantId);
    cell?.report(report.grantId, report);
  }

  /** Follows the directory. */
  updateEndpoints(): void {
    for (const [cell, dispatcher] of this.cells) {
      dispatcher.updateEndpoints(this.options.directory.listEndpoints(cell));
    }
  }

  /** What this daemon knows about the endpoints of the cells that it dispatches at present. */
  listBeliefs(): CellBelief[] {
    const beliefs: CellBelief[] = [];
    for (const [name, dispatcher] of this.cells) {
      if (this.isAsked(name)) {
        beliefs.push({ name, suspects: dispatcher.listSuspects() });
      }
    }
    return beliefs;
  }

  /** Adopts what the dispatchers at work know, for cells that this daemon does not dispatch. */
  adoptBeliefs(beliefs: readonly CellBelief[]): void {
    for (const { name, suspects } of beliefs) {
      if (!this.isAsked(name)) {
        this.open(name).importSuspects(new Set(suspects));
      }
    }
  }

  private isAsked(cell: string): boolean {
    const askedAt = this.lastAskByCell.get(cell) ?? -Infinity;
    return performance.now() - askedAt < ACTIVE_MILLISECONDS;
  }

  private open(cell: string): grants.CellDispatcher {
    let dispatcher = this.cells.get(cell);
    if (dispatcher === undefined) {
      dispatcher = new grants.CellDispatcher({
        now: () => performance.now(),
        retryBudget: () => this.options.retryBudget(cell),
        nextGrantId: () => {
          this.lastGrantId += 1;
          return this.lastGrantId;
        },
        decide: (request, decision) => this.decide(cell, request, decision),
      });
      dispatcher.updateEndpoints(this.options.directory.listEndpoints(cell));
      this.cells.set(cell, dispatcher);
    }
    return dispatcher;
  }

  private decide(cell: string, request: grants.SlotRequest, decision: grants.Decision): void {
    this.options.onDecision(cell, request, decision);
    const remembered = this.remembered.get(request.key);
    if (remembered === undefined) {
      return;
    }
    const dispatcher = this.open(cell);
    const load = Math.round(dispatcher.load * PERCENT);
    const askId = Number(request.key.slice(request.key.lastIndexOf('/') + 1));
    if (decision.kind === 'grant') {
      this.cellByGrant.set(decision.grantId, dispatcher);
      const { grantId, endpoint, hedgeAfter, reuseWithin } = decision;
      remembered.answer = [
        'grant',
        {
          askId,
          grantId,
          endpoint: endpoint.id,
          address: endpoint.address,
          hedgeAfter: Math.round(hedgeAfter),
          reuseWithin: Math.round(reuseWithin),
          load,
        },
      ];
    } else {
      const { reason, retryAfter } = decision;
      remembered.answer = ['refuse', { askId, reason, retryAfter: Math.round(retryAfter), load }];
    }
    remembered.tell(remembered.answer);
  }

  private scheduleTick(): void {
    this.waitingTimer ??= setTimeout(() => {
      this.waitingTimer = undefined;
      this.tick();
    }, WAITING_TICK_MILLISECONDS);
  }

  private tick(): void {
    for (const dispatcher of this.cells.values()) {
      dispatcher.tick();
      if (dispatcher.hasWaitingRequests) {
        this.scheduleTick();
      }
    }
  }

  private forget(): void {
    this.tick();
    const limit = performance.now() - ANSWER_KEPT_MILLISECONDS;
    for (const [key, { at }] of this.remembered) {
      if (at > limit) {
        break;
      }
      this.remembered.delete(key);
    }
    for (const [grantId, cell] of this.cellByGrant) {
      if (!cell.hasGrant(grantId)) {
        this.cellByGrant.delete(grantId);
      }
    }
  }
}
