/**
 * Daemons that admit requests of organisations in virtual time. Messages take a step, and are lost between parts of the
 * fleet that are partitioned from each other.
 */
import * as grants from '../src/index.js';
import { Period } from './usage-period.js';

export const TOLERANCE: grants.UsageTolerance = {
  windowMilliseconds: 5000,
  overage: 0.1,
  slack: 20,
};
const STEP_MILLISECONDS = 5;
/** Time after its start at which all other daemons know a daemon that was added. */
const KNOWN_MILLISECONDS = 4000;
const CHECK_ENDED_MILLISECONDS = 500;
/** Time after a change of a limit for which the former one may still be used. */
const APPLY_MILLISECONDS = 2500;

/** Decides about the requests of one daemon; other designs implement it, too. */
export interface Limiter {
  readonly admit: (
    organisation: string,
    respond: (admission: Pick<grants.UsageAdmission, 'kind'>) => void,
  ) => void;
  readonly receive: (from: string, message: grants.UsageMessage) => void;
  readonly tick: () => void;
}

/** What a limiter knows of its fleet. */
export type LimiterOptions = grants.UsageAgentOptions;

/** An organisation and its demand. */
export interface Demand {
  readonly name: string;
  readonly limit: grants.UsageLimit;
  /** Requests per second. */
  readonly rate: number;
}

interface VirtualDaemon {
  readonly name: string;
  readonly addedAt: number;
  limiter: Limiter | undefined;
  /** Restarts of the process so far. */
  startsAt: number;
  part: number;
}

interface History {
  readonly limits: { readonly from: number; readonly limit: grants.UsageLimit }[];
  readonly admittedAt: number[];
  /** Level of a single exact bucket. */
  level: number;
  levelAt: number;
}

export const createAgent = (options: LimiterOptions): Limiter => {
  const agent = new grants.UsageAgent(options);
  let lastCheckAt = options.now();
  return {
    admit: (organisation, respond) => agent.admit(organisation, respond),
    receive: (from, message) => agent.receive(from, message),
    tick: () => {
      agent.tick();
      if (options.now() - lastCheckAt >= CHECK_ENDED_MILLISECONDS) {
        lastCheckAt = options.now();
        agent.countEnded();
      }
    },
  };
};

/** Options of `UsageFleet`. */
export interface UsageFleetOptions {
  readonly daemons: number;
  readonly organisations: readonly Demand[];
  readonly random: () => number;
  readonly createLimiter?: (options: LimiterOptions) => Limiter;
  /** Share of messages that are lost. */
  readonly lossShare?: number;
}

/** Runs daemons and records what they admit. */
export class UsageFleet {
  now = 100_000;

  period = new Period();

  private readonly demands = new Map<string, Demand>();

  private readonly histories = new Map<string, History>();

  private readonly daemons: VirtualDaemon[] = [];

  private deliveries: (() => void)[] = [];

  private weights: readonly number[] = [1];

  private readonly carry = new Map<string, number>();

  constructor(private readonly options: UsageFleetOptions) {
    for (const demand of options.organisations) {
      this.demands.set(demand.name, demand);
      const limits = [{ from: -Infinity, limit: demand.limit }];
      const level = demand.limit.burst;
      this.histories.set(demand.name, { limits, admittedAt: [], level, levelAt: this.now });
    }
    for (let count = 0; count < options.daemons; count += 1) {
      this.add(-Infinity);
    }
  }

  getDemand(name: string): Demand {
    return this.demands.get(name) as Demand;
  }

  /** Begins another period. */
  beginPeriod(): Period {
    this.period = new Period();
    return this.period;
  }

  add(addedAt = this.now): void {
    const name = `daemon-${this.daemons.length + 1}`;
    const daemon = { name, addedAt, limiter: undefined, startsAt: this.now, part: 0 };
    this.daemons.push(daemon);
    this.start(daemon);
  }

  kill(index: number, downMilliseconds: number): void {
    const daemon = this.daemons[index % this.daemons.length] as VirtualDaemon;
    daemon.limiter = undefined;
    daemon.startsAt = this.now + downMilliseconds;
  }

  killAll(downMilliseconds: number): void {
    this.daemons.forEach((_, index) => this.kill(index, downMilliseconds));
  }

  /** Splits the daemons into parts that don't reach each other. */
  partition(partOf: (index: number) => number): void {
    this.daemons.forEach((daemon, index) => Object.assign(daemon, { part: partOf(index) }));
  }

  /** Distributes callers by weights, of which the daemons take the next in turn. */
  move(weights: readonly number[]): void {
    this.weights = weights;
  }

  setLimit(name: string, limit: grants.UsageLimit): void {
    const demand = this.getDemand(name);
    this.demands.set(name, { ...demand, limit });
    this.histories.get(name)?.limits.push({ from: this.now, limit });
  }

  setRate(name: string, rate: number): void {
    const demand = this.getDemand(name);
    this.demands.set(name, { ...demand, rate });
  }

  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP_MILLISECONDS;
      const { deliveries } = this;
      this.deliveries = [];
      for (const deliver of deliveries) {
        deliver();
      }
      for (const [index, daemon] of this.daemons.entries()) {
        if (daemon.limiter === undefined && this.now >= daemon.startsAt) {
          this.start(daemon);
        }
        // The daemons' timers don't coincide.
        if ((this.now / STEP_MILLISECONDS + index) % 10 === 0) {
          daemon.limiter?.tick();
        }
      }
      for (const demand of this.demands.values()) {
        const carry =
          (this.carry.get(demand.name) ?? this.options.random()) +
          demand.rate * STEP_MILLISECONDS * 2 * this.options.random() * 0.001;
        for (let left = carry; left >= 1; left -= 1) {
          this.request(demand.name);
        }
        this.carry.set(demand.name, carry % 1);
      }
    }
  }

  /** Returns by how much requests exceed the rule in the worst window of any organisation. */
  findWorstExcess(): number {
    let worst = -Infinity;
    for (const { admittedAt, limits } of this.histories.values()) {
      const times = admittedAt.toSorted((left, right) => left - right);
      let first = 0;
      for (const [last, time] of times.entries()) {
        while ((times[first] as number) < time - TOLERANCE.windowMilliseconds) {
          first += 1;
        }
        const from = time - 2 * TOLERANCE.windowMilliseconds - APPLY_MILLISECONDS;
        const allowed = limits
          .filter((_, index) => (limits[index + 1]?.from ?? Infinity) >= from)
          .map(({ limit }) => UsageFleet.computeAllowed(limit));
        worst = Math.max(worst, last - first + 1 - Math.max(...allowed));
      }
    }
    return worst;
  }

  private static computeAllowed({ requestsPerSecond, burst }: grants.UsageLimit): number {
    const limit = (requestsPerSecond * TOLERANCE.windowMilliseconds) / 1000 + burst;
    return limit * (1 + TOLERANCE.overage) + TOLERANCE.slack;
  }

  private start(daemon: VirtualDaemon): void {
    const startedAt = this.now;
    const { createLimiter = createAgent } = this.options;
    const rank = (): string[] =>
      this.daemons
        .filter(({ addedAt }) => addedAt <= startedAt || this.now - addedAt >= KNOWN_MILLISECONDS)
        .map(({ name }) => name);
    Object.assign(daemon, {
      limiter: createLimiter({
        self: daemon.name,
        startedAt,
        rank,
        findLimit: (organisation) => this.demands.get(organisation)?.limit,
        tolerance: () => TOLERANCE,
        send: (to, message) => this.send(daemon, to, message),
        checkEnded: (name, onEnded) => {
          const other = this.daemons.find((known) => known.name === name);
          if (other?.part === daemon.part && other.limiter === undefined) {
            onEnded();
          }
        },
        now: () => this.now,
      }),
    });
  }

  private send(from: VirtualDaemon, to: string, message: grants.UsageMessage): void {
    this.period.messages += 1;
    const receiver = this.daemons.find(({ name }) => name === to);
    const sender = from.limiter;
    const isLost = this.options.random() < (this.options.lossShare ?? 0);
    if (receiver === undefined || receiver.part !== from.part || isLost) {
      return;
    }
    this.deliveries.push(() => {
      if (sender === from.limiter || from.limiter !== undefined) {
        receiver.limiter?.receive(from.name, message);
      }
    });
  }

  private request(name: string): void {
    const limiter = this.chooseDaemon()?.limiter;
    if (limiter === undefined) {
      return;
    }
    const { period } = this;
    const arrivedAt = this.now;
    const served = period.served.get(name) ?? { within: 0, admitted: 0 };
    period.served.set(name, served);
    served.within += this.countWithin(name) ? 1 : 0;
    period.requests += 1;
    limiter.admit(name, ({ kind }) => {
      period.waited += this.now - arrivedAt;
      if (kind === 'admitted') {
        this.histories.get(name)?.admittedAt.push(this.now);
        served.admitted += 1;
      }
    });
  }

  private countWithin(name: string): boolean {
    const history = this.histories.get(name) as History;
    const { requestsPerSecond, burst } = this.getDemand(name).limit;
    const gained = (requestsPerSecond * (this.now - history.levelAt)) / 1000;
    history.level = Math.min(Math.max(1, burst), history.level + gained);
    history.levelAt = this.now;
    const isWithin = history.level >= 1;
    history.level -= isWithin ? 1 : 0;
    return isWithin;
  }

  private chooseDaemon(): VirtualDaemon | undefined {
    const weightOf = (index: number): number => this.weights[index % this.weights.length] as number;
    const total = this.daemons.reduce((sum, _, index) => sum + weightOf(index), 0);
    let left = this.options.random() * total;
    for (const [index, daemon] of this.daemons.entries()) {
      left -= weightOf(index);
      if (left < 0) {
        return daemon;
      }
    }
    return undefined;
  }
}
