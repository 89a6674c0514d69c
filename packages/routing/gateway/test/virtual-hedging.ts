/**
 * Requests of one route in virtual time: entry daemons with their hedging and retry budgets, the dispatcher of one cell,
 * and endpoints whose service times a test sets. Entry daemons and dispatcher hear each other without delay.
 */
import * as grants from '@dogwoodstall/grants';
import type { Route } from '@dogwoodstall/traffic';
import * as gateway from '../src/index.js';
import { VirtualClock } from './virtual-clock.js';

const BUDGET = { ratio: 0.2, slack: 2, windowMilliseconds: 10_000 };
const TICK_MILLISECONDS = 20;

/** The route of all requests. */
export const virtualRoute: Route = {
  name: 'read',
  host: 'shop.example',
  prefix: '/',
  idempotent: true,
  destinations: [{ service: 'catalogue', weight: 1 }],
  timeoutMilliseconds: 4000,
  targetMilliseconds: 1000,
  maximumAttempts: 2,
  priority: 1,
};

/** Options of `VirtualHedging`. */
export interface VirtualHedgingOptions {
  readonly settings: gateway.HedgingSettings | undefined;
  readonly requestsPerSecond: number;
  /** Returns the service time of an attempt; `Infinity` if the endpoint never responds. */
  readonly serve: (endpoint: string, random: () => number) => number;
  readonly endpoints?: number;
  readonly slots?: number;
  readonly entries?: number;
  readonly route?: Partial<Route>;
  readonly seed?: number;
}

/** What became of one request. */
export interface VirtualRequest {
  readonly startedAt: number;
  /** Milliseconds until the response; `Infinity` without one. */
  milliseconds: number;
  refused: boolean;
  ended: boolean;
  readonly attempts: VirtualAttempt[];
}

/** An attempt that was sent. */
export interface VirtualAttempt {
  readonly endpoint: string;
  readonly startedAt: number;
  readonly isHedge: boolean;
  /** Load of the cell and queued requests just before the slot was granted. */
  readonly load: number;
  readonly hadWaiters: boolean;
  outcome: 'running' | 'answered' | 'cancelled' | 'timed-out';
}

interface Entry {
  readonly name: string;
  readonly hedging: gateway.Hedging;
  readonly budget: grants.EntryRetryBudget;
}

interface Ask {
  readonly onGrant: (decision: Extract<grants.Decision, { kind: 'grant' }>) => void;
  readonly onRefusal: () => void;
}

interface Sending {
  readonly entry: Entry;
  readonly request: VirtualRequest;
  readonly grant: Extract<grants.Decision, { kind: 'grant' }>;
  readonly hedge: gateway.Hedge | undefined;
  readonly load: number;
  readonly hadWaiters: boolean;
}

/** Returns a function that returns numbers from 0 to below 1. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Runs requests and records their attempts. */
export class VirtualHedging {
  readonly clock = new VirtualClock();

  readonly requests: VirtualRequest[] = [];

  readonly events: gateway.HedgeEvent[] = [];

  /** Of arrivals, which are the same whatever becomes of the requests. */
  private readonly random: () => number;

  private readonly serviceRandom: () => number;

  private readonly dispatcher: grants.CellDispatcher;

  private readonly entries: Entry[] = [];

  private readonly asks = new Map<string, Ask>();

  /** Ends the running attempts of a request, by request. */
  private readonly cancels = new Map<VirtualRequest, Set<() => void>>();

  private readonly route: Route;

  private lastKey = 0;

  private lastGrantId = 0;

  constructor(private readonly options: VirtualHedgingOptions) {
    this.route = { ...virtualRoute, ...options.route };
    this.random = createRandom(options.seed ?? 1);
    this.serviceRandom = createRandom((options.seed ?? 1) * 16_807);
    this.dispatcher = new grants.CellDispatcher({
      now: () => this.clock.now,
      limitShare: () => 1,
      decide: (request, decision) => this.decide(request.key, decision),
      nextGrantId: () => {
        this.lastGrantId += 1;
        return this.lastGrantId;
      },
      crashRecords: new grants.CrashRecords(),
      onAnnouncement: () => {},
    });
    this.dispatcher.updateEndpoints(
      Array.from({ length: options.endpoints ?? 12 }, (_, index) => ({
        id: `endpoint-${index}`,
        service: 'catalogue',
        address: `10.0.0.${index + 1}:80`,
        zone: 'a',
        slots: options.slots ?? 4,
        draining: false,
        warmUpMilliseconds: 0,
        lifetime: 1,
      })),
    );
    for (let index = 0; index < (options.entries ?? 4); index += 1) {
      this.entries.push({
        name: `entry-${index}`,
        hedging: new gateway.Hedging({
          settings: () => options.settings,
          onDecision: ({ event }) => this.events.push(event),
          now: () => this.clock.now,
        }),
        budget: new grants.EntryRetryBudget(() => BUDGET, 0),
      });
    }
  }

  /** Sends requests at random intervals for the given time, and waits until all have ended. */
  run(milliseconds: number): void {
    const end = this.clock.now + milliseconds;
    const arrive = (): void => {
      if (this.clock.now < end) {
        this.startRequest();
        const mean = 1000 / this.options.requestsPerSecond;
        this.clock.schedule(-Math.log(1 - this.random()) * mean, arrive);
      }
    };
    const tick = (): void => {
      this.dispatcher.tick();
      if (this.clock.now < end + this.route.timeoutMilliseconds) {
        this.clock.schedule(TICK_MILLISECONDS, tick);
      }
    };
    tick();
    arrive();
    this.clock.run();
  }

  private startRequest(): void {
    const entry = this.entries[Math.floor(this.random() * this.entries.length)] as Entry;
    const request: VirtualRequest = {
      startedAt: this.clock.now,
      milliseconds: Infinity,
      refused: false,
      ended: false,
      attempts: [],
    };
    this.requests.push(request);
    this.cancels.set(request, new Set());
    entry.budget.countRequest(this.clock.now);
    entry.hedging.countRequest({ route: this.route, service: 'catalogue' });
    this.clock.schedule(this.route.timeoutMilliseconds, () => this.endRequest(request));
    this.startAttempt(entry, request, undefined);
  }

  private startAttempt(
    entry: Entry,
    request: VirtualRequest,
    hedge: gateway.Hedge | undefined,
    onRefusal = (): void => {},
  ): void {
    this.lastKey += 1;
    const key = `${entry.name}/${this.lastKey}`;
    const { load, hasWaitingRequests: hadWaiters } = this.dispatcher;
    this.asks.set(key, {
      onGrant: (grant) => this.send({ entry, request, grant, hedge, load, hadWaiters }),
      onRefusal: () => {
        hedge?.refuse('overload');
        request.refused ||= hedge === undefined;
        onRefusal();
      },
    });
    const withdraw = (): void => {
      if (this.asks.delete(key)) {
        this.dispatcher.withdraw(key);
        hedge?.refuse('not-needed');
      }
    };
    this.cancels.get(request)?.add(withdraw);
    this.dispatcher.ask({
      key,
      entry: entry.name,
      zone: 'a',
      route: this.route.name,
      idempotent: this.route.idempotent,
      priority: this.route.priority,
      organisation: '',
      remaining: request.startedAt + this.route.timeoutMilliseconds - this.clock.now,
      target: this.route.targetMilliseconds,
      repeated: hedge !== undefined,
      mayProbe: hedge === undefined,
      waitedElsewhere: 0,
      kilobytes: 0,
      fingerprint: key,
      excluded: new Set(request.attempts.map(({ endpoint }) => endpoint)),
      maximumLoad: hedge?.maximumLoad,
    });
  }

  private decide(key: string, decision: grants.Decision): void {
    const ask = this.asks.get(key);
    this.asks.delete(key);
    if (decision.kind === 'grant') {
      ask?.onGrant(decision);
    } else {
      ask?.onRefusal();
    }
  }

  private send({ entry, request, grant, hedge, load, hadWaiters }: Sending): void {
    if (hedge !== undefined && !entry.budget.tryTake(this.clock.now)) {
      this.report(grant.grantId, 'unused', 0);
      hedge.refuse('retry-budget');
      return;
    }
    const isHedge = hedge !== undefined;
    const { id: endpoint } = grant.endpoint;
    const startedAt = this.clock.now;
    const attempt: VirtualAttempt = {
      endpoint,
      startedAt,
      isHedge,
      load,
      hadWaiters,
      outcome: 'running',
    };
    request.attempts.push(attempt);
    hedge?.start();
    const delay = entry.hedging.getDelay(this.route, grant.hedgeAfter);
    const finish = (outcome: VirtualAttempt['outcome']): void => {
      attempt.outcome = outcome;
      const elapsed = this.clock.now - startedAt;
      this.report(grant.grantId, outcome === 'answered' ? 'success' : 'abandoned', elapsed);
      hedge?.end(outcome === 'answered' ? 'won' : 'cancelled', true);
      if (!isHedge && (outcome === 'answered' || elapsed >= (delay ?? Infinity))) {
        entry.hedging.recordTime(this.route, elapsed);
      }
    };
    this.cancels.get(request)?.add(() => {
      if (attempt.outcome === 'running') {
        finish(request.milliseconds < Infinity ? 'cancelled' : 'timed-out');
      }
    });
    const service = this.options.serve(endpoint, this.serviceRandom);
    if (service < Infinity) {
      this.clock.schedule(service, () => {
        if (attempt.outcome === 'running') {
          finish('answered');
          request.milliseconds = this.clock.now - request.startedAt;
          this.endRequest(request);
        }
      });
    }
    if (!isHedge && delay !== undefined) {
      const hedgeLater = (): void =>
        this.clock.schedule(delay, () => this.hedge(entry, request, attempt, hedgeLater));
      hedgeLater();
    }
  }

  private hedge(
    entry: Entry,
    request: VirtualRequest,
    attempt: VirtualAttempt,
    hedgeLater: () => void,
  ): void {
    if (attempt.outcome !== 'running' || this.route.maximumAttempts < 2) {
      return;
    }
    const hedged = { route: this.route, service: 'catalogue' };
    const hedge = entry.hedging.tryBegin(hedged, {
      hasReserve: (_service, share) => entry.budget.hasReserve(this.clock.now, share),
    });
    const onRefusal = entry.hedging.isLimited ? hedgeLater : (): void => {};
    if (hedge === undefined) {
      onRefusal();
    } else {
      this.startAttempt(entry, request, hedge, onRefusal);
    }
  }

  private endRequest(request: VirtualRequest): void {
    if (!request.ended) {
      Object.assign(request, { ended: true });
      for (const cancel of this.cancels.get(request) ?? []) {
        cancel();
      }
      this.cancels.delete(request);
    }
  }

  private report(grantId: number, outcome: grants.AttemptResult['outcome'], elapsed: number): void {
    this.dispatcher.report(grantId, {
      outcome,
      elapsed,
      load: -1,
      silent: outcome !== 'success',
      rested: 0,
      announcement: null,
    });
  }
}
