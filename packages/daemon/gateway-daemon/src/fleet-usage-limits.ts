/**
 * Applies the usage limits of organisations with the other daemons of the fleet. Organisations are divided into groups by
 * hash, so that no daemon keeps the limits of all. Nothing is sent, and no timer runs, unless an organisation of the
 * configuration has a limit.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import type * as gateway from '@dogwoodstall/gateway';
import * as grants from '@dogwoodstall/grants';
import * as hashing from '@dogwoodstall/hashing';
import type { Organisation, RouteIndex } from '@dogwoodstall/traffic';
import type { Member, MemberTable } from './member.js';
import { checkProcessEnd } from './process-end.js';
import type { GatewaySettings } from './settings.js';
import { type UsageDatagram, decodeUsageMessage, encodeUsageMessage } from './usage-datagrams.js';
import { type UsageReport, UsageCounts } from './usage-counts.js';

const GROUPS = 2;
/** Precedes the number of a group in the name of the role by whose ranking its keeper is chosen. */
const USAGE_ROLE_PREFIX = '@usage/';
/** Interval of the agents' ticks while no request waits. */
const CALM_TICK_MILLISECONDS = 100;
const CHECK_ENDED_MILLISECONDS = 500;
const REPORT_MILLISECONDS = 1000;
/** Time after which a daemon is checked again that has not ended as far as is known. */
const CHECK_AGAIN_MILLISECONDS = 2000;
/** Checks of ended processes that run at a time. */
const MAXIMUM_CHECKS = 16;
/** Time after which members that only other daemons told of count as all, while the store does not respond. */
const UNJOINED_MILLISECONDS = 3000;

/** Options of `FleetUsageLimits`. */
export interface FleetUsageLimitsOptions {
  readonly members: MemberTable;
  /** Whether the members have been read from the store. */
  readonly hasJoined: () => boolean;
  readonly settings: () => Pick<GatewaySettings, 'seeds' | 'usage'>;
  /** Returns the routes of the active configuration; undefined before one is known. */
  readonly findRoutes: () => RouteIndex | undefined;
  readonly send: (message: datagrams.Message, to: datagrams.PeerAddress) => void;
  /** Called each second while there are limits. */
  readonly onReport: (report: UsageReport) => void;
  /** Called when this daemon borrows from another keeper than before. */
  readonly onKeeper: (group: number, keeper: string) => void;
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
}

/** The decision about a request that ended while it waited. */
const withdrawn: gateway.UsageDecision = { kind: 'refused', retryAfter: 0 };

interface NamedRanking {
  readonly members: readonly Member[];
  readonly names: readonly string[];
}

/** Usage limits of one daemon. */
export class FleetUsageLimits implements gateway.UsageLimits {
  private agents: readonly grants.UsageAgent[] = [];

  private readonly keepers = new Map<number, string>();

  private readonly rankings = new Map<number, NamedRanking>();

  private readonly startedAt: number;

  private readonly counts = new UsageCounts();

  private timers: NodeJS.Timeout[] = [];

  private nextTick: NodeJS.Timeout | undefined;

  private checks = 0;

  /** Times of the last checks that did not find that the process has ended, by daemon. */
  private readonly triedAt = new Map<string, number>();

  private isStopping = false;

  constructor(private readonly options: FleetUsageLimitsOptions) {
    this.startedAt = options.now();
  }

  /** Begins to take part as soon as the configuration limits an organisation. */
  update(): void {
    const { organisations = [] } = this.options.findRoutes()?.configuration ?? {};
    const isLimited = organisations.some(FleetUsageLimits.hasLimit);
    if (!isLimited || this.timers.length > 0 || this.isStopping) {
      return;
    }
    const agents = Array.from({ length: GROUPS }, (_, group) => this.createAgent(group));
    this.agents = agents;
    this.timers = [
      setInterval(() => agents.forEach((agent) => agent.countEnded()), CHECK_ENDED_MILLISECONDS),
      setInterval(() => this.report(), REPORT_MILLISECONDS),
    ];
    this.scheduleTick();
  }

  admit(
    organisation: Organisation,
    signal: AbortSignal,
  ): Promise<gateway.UsageDecision> | gateway.UsageDecision {
    const agent = this.agents[FleetUsageLimits.findGroup(organisation.name)];
    if (!FleetUsageLimits.hasLimit(organisation) || agent === undefined) {
      return { kind: 'admitted', giveBack: () => {} };
    }
    if (signal.aborted) {
      return withdrawn;
    }
    let decision: gateway.UsageDecision | undefined;
    let settle: ((decided: gateway.UsageDecision) => void) | undefined;
    const withdraw = agent.admit(organisation.name, (admission) => {
      this.counts.record(organisation.name, admission);
      decision = this.withCount(admission);
      settle?.(decision);
    });
    if (decision !== undefined) {
      return decision;
    }
    return new Promise((resolve) => {
      const onAbort = (): void => {
        withdraw();
        this.counts.countWithdrawn();
        resolve(withdrawn);
      };
      settle = (decided) => {
        signal.removeEventListener('abort', onAbort);
        resolve(decided);
      };
      signal.addEventListener('abort', onAbort, { once: true });
    });
  }

  /** Processes a message of another daemon; those of unknown daemons are ignored. */
  receive(datagram: UsageDatagram, { host }: datagrams.PeerAddress): void {
    const [, content] = datagram;
    const member = this.options.members.findByHost(host);
    const group =
      'group' in content ? content.group : FleetUsageLimits.findGroup(content.organisation);
    if (member !== undefined) {
      this.agents[group]?.receive(member.name, decodeUsageMessage(datagram));
    }
  }

  /** Makes the daemons that borrow from this one choose another keeper. */
  beginStop(): void {
    this.isStopping = true;
    this.agents.forEach((agent) => agent.stop());
  }

  close(): void {
    this.isStopping = true;
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers = [];
    clearTimeout(this.nextTick);
  }

  private static hasLimit({ requestsPerSecond }: Organisation): boolean {
    return requestsPerSecond > 0;
  }

  private static findGroup(organisation: string): number {
    return hashing.hashText32(organisation) % GROUPS;
  }

  private createAgent(group: number): grants.UsageAgent {
    const { members, settings, findRoutes, send, now } = this.options;
    return new grants.UsageAgent({
      self: members.self.name,
      startedAt: this.startedAt,
      rank: () => this.rank(group),
      findLimit: (name) => {
        const organisation = findRoutes()?.organisations?.findByName(name);
        return organisation !== undefined && FleetUsageLimits.hasLimit(organisation)
          ? organisation
          : undefined;
      },
      tolerance: () => {
        const { windowSeconds, overage, slack } = settings().usage;
        return { windowMilliseconds: windowSeconds * 1000, overage, slack };
      },
      send: (to, message) => {
        const member = members.find(to);
        if (member !== undefined) {
          const { host, datagramPort: port } = member;
          this.counts.countMessage(message);
          send(encodeUsageMessage(message, group), { host, port });
        }
      },
      checkEnded: (name, onEnded) => this.checkEnded(name, onEnded),
      now,
    });
  }

  /** Ranks the daemons by name; empty until they are known, so that no part of a limit is counted twice. */
  private rank(group: number): readonly string[] {
    const { members } = this.options;
    if (!this.areMembersKnown()) {
      return [];
    }
    const ranking = members.rank({ name: `${USAGE_ROLE_PREFIX}${group}`, zone: undefined });
    const known = this.rankings.get(group);
    if (known?.members === ranking) {
      return known.names;
    }
    const names = ranking.map(({ name }) => name);
    this.rankings.set(group, { members: ranking, names });
    return names;
  }

  private areMembersKnown(): boolean {
    const { hasJoined, members, settings, now } = this.options;
    if (hasJoined()) {
      return true;
    }
    const isOld = now() - this.startedAt > UNJOINED_MILLISECONDS;
    return isOld && members.list().length > Math.max(1, settings().seeds.length);
  }

  private checkEnded(name: string, onEnded: () => void): void {
    const member = this.options.members.find(name);
    const now = this.options.now();
    const triedAt = this.triedAt.get(name) ?? -Infinity;
    if (
      member === undefined ||
      this.checks >= MAXIMUM_CHECKS ||
      now - triedAt < CHECK_AGAIN_MILLISECONDS
    ) {
      return;
    }
    this.checks += 1;
    this.triedAt.set(name, now);
    const socket = checkProcessEnd(member.peerAddress, () => {
      this.triedAt.delete(name);
      onEnded();
    });
    socket.once('close', () => {
      this.checks -= 1;
    });
  }

  private withCount(admission: grants.UsageAdmission): gateway.UsageDecision {
    if (admission.kind === 'refused') {
      return admission;
    }
    const giveBack = (): void => {
      this.counts.countGivenBack();
      admission.giveBack();
    };
    return { kind: 'admitted', giveBack };
  }

  private scheduleTick(): void {
    const isWaiting = this.agents.some((agent) => agent.isWaiting);
    this.nextTick = setTimeout(
      () => {
        this.tick();
        this.scheduleTick();
      },
      isWaiting ? grants.USAGE_TICK_MILLISECONDS : CALM_TICK_MILLISECONDS,
    );
  }

  private tick(): void {
    for (const [group, agent] of this.agents.entries()) {
      agent.tick();
      const { keeper } = agent;
      if (this.keepers.get(group) !== keeper) {
        this.keepers.set(group, keeper);
        this.options.onKeeper(group, keeper);
      }
    }
  }

  private report(): void {
    const shares = this.agents.map((agent) => agent.share);
    this.options.onReport(this.counts.take(shares));
  }
}
