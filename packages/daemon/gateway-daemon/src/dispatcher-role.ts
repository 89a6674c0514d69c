/**
 * The dispatcher side of the datagrams: this daemon grants slots of the services for which others ask it.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import * as grants from '@dogwoodstall/grants';
import type { Directory } from './directory.js';

/** A decision as it is told to the entry. */
export type Answer = Extract<datagrams.Message, readonly ['grant' | 'refuse' | 'queued', unknown]>;

/** Options of `DispatcherRole`. */
export interface DispatcherRoleOptions {
  readonly directory: Directory;
  /** The retry budget for a service; small when another daemon is its dispatcher. */
  readonly retryBudget: (service: string) => grants.RetryBudget;
  readonly onDecision: (
    service: string,
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

interface Remembered {
  readonly service: string;
  readonly at: number;
  answer: Answer;
  tell: (answer: Answer) => void;
}

/** Grants the slots of services. */
export class DispatcherRole {
  private readonly services = new Map<string, grants.ServiceDispatcher>();

  private readonly serviceByGrant = new Map<number, grants.ServiceDispatcher>();

  private readonly remembered = new Map<string, Remembered>();

  private forgetTimer: NodeJS.Timeout | undefined;

  private waitingTimer: NodeJS.Timeout | undefined;

  private lastGrantId = 0;

  private lastAskAt = -Infinity;

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
    for (const dispatcher of this.services.values()) {
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
    const key = `${entry}/${ask.askId}`;
    const known = this.remembered.get(key);
    if (known !== undefined) {
      known.tell = tell;
      tell(known.answer);
      return;
    }
    if (this.leaving) {
      tell(['refuse', { askId: ask.askId, reason: 'stopping', retryAfter: 0 }]);
      return;
    }
    const remembered: Remembered = {
      service: ask.service,
      at: performance.now(),
      answer: ['queued', ask.askId],
      tell,
    };
    this.remembered.set(key, remembered);
    const waits = this.open(ask.service).ask({
      key,
      entry,
      zone: ask.zone,
      route: ask.route,
      idempotent: ask.idempotent,
      priority: ask.priority,
      remaining: ask.remaining,
      target: ask.target,
      repeated: ask.repeated,
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
      this.services.get(known.service)?.withdraw(key);
    }
  }

  report(report: datagrams.Report): void {
    const service = this.serviceByGrant.get(report.grantId);
    this.serviceByGrant.delete(report.grantId);
    service?.report(report.grantId, report);
  }

  /** Follows the directory. */
  updateEndpoints(): void {
    for (const [service, dispatcher] of this.services) {
      dispatcher.updateEndpoints(this.options.directory.list(service));
    }
  }

  /** Endpoints of all dispatched services that are probably failing. */
  listSuspects(): string[] {
    const suspects: string[] = [];
    for (const dispatcher of this.services.values()) {
      suspects.push(...dispatcher.listSuspects());
    }
    return suspects;
  }

  /** Adopts what the dispatcher at work knows. */
  adoptSuspects(suspects: readonly string[]): void {
    const set = new Set(suspects);
    for (const service of this.options.directory.listServices()) {
      this.open(service).adoptSuspects(set);
    }
  }

  private open(service: string): grants.ServiceDispatcher {
    let dispatcher = this.services.get(service);
    if (dispatcher === undefined) {
      dispatcher = new grants.ServiceDispatcher({
        now: () => performance.now(),
        retryBudget: () => this.options.retryBudget(service),
        nextGrantId: () => {
          this.lastGrantId += 1;
          return this.lastGrantId;
        },
        decide: (request, decision) => this.decide(service, request, decision),
      });
      dispatcher.updateEndpoints(this.options.directory.list(service));
      this.services.set(service, dispatcher);
    }
    return dispatcher;
  }

  private decide(service: string, request: grants.SlotRequest, decision: grants.Decision): void {
    this.options.onDecision(service, request, decision);
    const remembered = this.remembered.get(request.key);
    if (remembered === undefined) {
      return;
    }
    const askId = Number(request.key.slice(request.key.lastIndexOf('/') + 1));
    if (decision.kind === 'grant') {
      this.serviceByGrant.set(decision.grantId, this.open(service));
      const { grantId, endpoint, hedgeAfter } = decision;
      remembered.answer = [
        'grant',
        {
          askId,
          grantId,
          endpoint: endpoint.id,
          address: endpoint.address,
          hedgeAfter: Math.round(hedgeAfter),
        },
      ];
    } else {
      const { reason, retryAfter } = decision;
      remembered.answer = ['refuse', { askId, reason, retryAfter: Math.round(retryAfter) }];
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
    for (const dispatcher of this.services.values()) {
      dispatcher.tick();
      if (dispatcher.hasWaiting) {
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
    for (const [grantId, service] of this.serviceByGrant) {
      if (!service.knows(grantId)) {
        this.serviceByGrant.delete(grantId);
      }
    }
  }
}
