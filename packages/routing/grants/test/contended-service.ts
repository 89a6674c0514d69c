/**
 * A service in virtual time that several routes and organisations share, and that can't serve everybody at times.
 */
import * as fastCheck from 'fast-check';
import type * as grants from '../src/index.js';
import { VirtualService, createEndpoint } from './fixture.js';

const STEP_MILLISECONDS = 5;
const RANDOM_NUMBERS = 50_000;
const MAXIMUM_ATTEMPTS = 3;
/** Time in which an endpoint rejects a request. */
const SHED_MILLISECONDS = 3;
const ENTRY_COUNT = 20;

/** The requests of one route. */
export interface RouteLoad {
  readonly route: string;
  readonly priority: number;
  readonly idempotent: boolean;
  readonly target: number;
  readonly deadline: number;
  /** Mean service time; services take from half of it to one and a half. */
  readonly work: number;
  /** Value of a request that is served within its target, and of one that is served later. */
  readonly worth: number;
  readonly lateWorth: number;
  /** Requests per second of an organisation at a time since the start. */
  readonly findRate: (organisation: string, at: number) => number;
}

/** The load on the service. */
export interface ContendedLoad {
  readonly endpoints: number;
  readonly slots: number;
  readonly organisations: readonly string[];
  readonly routes: readonly RouteLoad[];
  /** Whether the dispatcher learns of the organisations. */
  readonly tellsOrganisations?: boolean;
  /** Share of the requests that endpoints reject at a time since the start. */
  readonly findShedShare?: (at: number) => number;
}

/** What became of a group of requests. */
export interface GroupResult {
  requests: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Worth of what was served, and of all requests if served in time. */
  earned: number;
  owed: number;
  /** Sum of the milliseconds for which refused requests waited. */
  waitedForRefusal: number;
}

interface Pending {
  readonly load: RouteLoad;
  readonly organisation: string;
  readonly entry: string;
  readonly sentAt: number;
  readonly excluded: ReadonlySet<string>;
  readonly attempts: number;
}

interface Running extends Pending {
  readonly endsAt: number;
  readonly startedAt: number;
  readonly granted: Extract<grants.Decision, { kind: 'grant' }>;
  readonly isShed: boolean;
}

function createGroup(): GroupResult {
  return {
    requests: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    earned: 0,
    owed: 0,
    waitedForRefusal: 0,
  };
}

/** Runs a load and counts what becomes of the requests that are sent from `countFrom` on. */
export class ContendedService {
  /** Results by route and organisation. */
  readonly results = new Map<string, GroupResult>();

  /** Steps at which a slot was free while a request waited that may use it. */
  idleSteps = 0;

  private readonly service: VirtualService;

  private readonly random: number[];

  private drawn = 0;

  private running: Running[] = [];

  private readonly waiting = new Map<string, Pending>();

  private readonly due = new Map<string, number>();

  private readonly startedAt: number;

  constructor(
    private readonly load: ContendedLoad,
    seed: number,
    private readonly countFrom = 0,
  ) {
    const { endpoints, slots } = load;
    this.service = new VirtualService(
      Array.from({ length: endpoints }, (_, index) => createEndpoint(`e${index}`, { slots })),
    );
    this.startedAt = this.service.now;
    const fraction = fastCheck.noBias(fastCheck.nat({ max: 999_999 }));
    this.random = fastCheck
      .sample(fraction, { numRuns: RANDOM_NUMBERS, seed })
      .map((value) => value / 1_000_000);
  }

  /** Runs for some time, then until nothing is waiting or running. */
  run(milliseconds: number): this {
    while (this.elapsed < milliseconds || this.waiting.size + this.running.length > 0) {
      this.service.now += STEP_MILLISECONDS;
      this.finish();
      if (this.elapsed < milliseconds) {
        this.send();
      }
      this.service.dispatcher.tick();
      this.collectDecisions();
      this.countIdleSlots();
    }
    return this;
  }

  /** Sums up the results of the routes and organisations for which `isIncluded` returns true. */
  sum(isIncluded: (route: string, organisation: string) => boolean = () => true): GroupResult {
    const total = createGroup();
    for (const [key, group] of this.results) {
      const [route, organisation] = key.split('/') as [string, string];
      if (isIncluded(route, organisation)) {
        for (const name of Object.keys(total) as (keyof GroupResult)[]) {
          total[name] += group[name];
        }
      }
    }
    return total;
  }

  private get elapsed(): number {
    return this.service.now - this.startedAt;
  }

  private draw(): number {
    this.drawn = (this.drawn + 1) % RANDOM_NUMBERS;
    return this.random[this.drawn] as number;
  }

  private send(): void {
    for (const load of this.load.routes) {
      for (const organisation of this.load.organisations) {
        const key = `${load.route}/${organisation}`;
        const rate = load.findRate(organisation, this.elapsed);
        let due = (this.due.get(key) ?? this.draw()) + (rate * STEP_MILLISECONDS) / 1000;
        for (; due >= 1; due -= 1) {
          const entry = `entry-${Math.floor(this.draw() * ENTRY_COUNT)}`;
          const sentAt = this.service.now;
          this.count({ load, organisation, sentAt }, { requests: 1, owed: load.worth });
          this.ask({ load, organisation, entry, sentAt, excluded: new Set(), attempts: 1 });
        }
        this.due.set(key, due);
      }
    }
  }

  private ask(pending: Pending): void {
    const { load, organisation, entry, sentAt, excluded, attempts } = pending;
    const { route, priority, idempotent, target, deadline } = load;
    const key = this.service.ask({
      route,
      organisation: this.load.tellsOrganisations === false ? '' : organisation,
      priority,
      idempotent,
      target,
      entry,
      excluded,
      remaining: deadline - (this.service.now - sentAt),
      repeated: attempts > 1,
    });
    this.waiting.set(key, pending);
  }

  private collectDecisions(): void {
    for (const [key, pending] of this.waiting) {
      const decision = this.service.decisions.get(key);
      if (decision?.kind === 'grant') {
        this.waiting.delete(key);
        this.start(pending, decision);
      } else if (decision?.kind === 'refuse') {
        this.waiting.delete(key);
        const waitedForRefusal = this.service.now - pending.sentAt;
        this.count(pending, { refused: 1, waitedForRefusal });
      }
    }
  }

  private start(pending: Pending, granted: Running['granted']): void {
    const { now } = this.service;
    const isShed = this.draw() < (this.load.findShedShare?.(this.elapsed) ?? 0);
    const service = pending.load.work * (0.5 + this.draw());
    const endsAt = now + (isShed ? SHED_MILLISECONDS : service);
    this.running.push({ ...pending, granted, endsAt, startedAt: now, isShed });
  }

  private finish(): void {
    const { now, dispatcher } = this.service;
    const ended = this.running.filter(({ endsAt }) => endsAt <= now);
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
    for (const attempt of ended) {
      dispatcher.report(attempt.granted.grantId, {
        outcome: attempt.isShed ? 'shed' : 'success',
        elapsed: now - attempt.startedAt,
        load: -1,
        silent: false,
        rested: 0,
        announcement: null,
      });
      if (!attempt.isShed) {
        this.countServed(attempt);
      } else if (attempt.attempts < MAXIMUM_ATTEMPTS) {
        const excluded = new Set([...attempt.excluded, attempt.granted.endpoint.id]);
        this.ask({ ...attempt, excluded, attempts: attempt.attempts + 1 });
      } else {
        this.count(attempt, { failed: 1 });
      }
    }
  }

  private countServed(attempt: Running): void {
    const { load, sentAt } = attempt;
    const isInTime = this.service.now - sentAt <= load.target;
    this.count(
      attempt,
      isInTime ? { inTime: 1, earned: load.worth } : { late: 1, earned: load.lateWorth },
    );
  }

  private count(
    { load, organisation, sentAt }: Pick<Pending, 'load' | 'organisation' | 'sentAt'>,
    changes: Partial<GroupResult>,
  ): void {
    if (sentAt - this.startedAt < this.countFrom) {
      return;
    }
    const key = `${load.route}/${organisation}`;
    const group = this.results.get(key) ?? createGroup();
    for (const [name, change] of Object.entries(changes) as [keyof GroupResult, number][]) {
      group[name] += change;
    }
    this.results.set(key, group);
  }

  private countIdleSlots(): void {
    const used = new Map<string, number>();
    for (const { granted } of this.running) {
      used.set(granted.endpoint.id, (used.get(granted.endpoint.id) ?? 0) + 1);
    }
    for (const { excluded, load } of this.waiting.values()) {
      for (let index = 0; load.idempotent && index < this.load.endpoints; index += 1) {
        const id = `e${index}`;
        if (!excluded.has(id) && (used.get(id) ?? 0) < this.load.slots) {
          this.idleSteps += 1;
          return;
        }
      }
    }
  }
}
