/**
 * Failure detection for the daemons that are candidates for each role. Each daemon pings the first two responsive
 * candidates of the roles that it monitors and, less often, the unresponsive ones that rank before them.
 *
 * A daemon monitors the roles for which it ranks among the first, and one cell besides, so that the pings to a
 * dispatcher do not grow with the number of cells. Dispatchers of other cells are assumed to respond until a slot
 * request shows otherwise.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import { type Contact, countFirstPings, createContact } from './contact.js';
import { type Member, type MemberTable, type Role, STORE_WATCHER_ROLE } from './member.js';
import { MonitoredCells, TAKEOVER_RANKS } from './monitored-cells.js';

/** Address of a daemon that may dispatch. */
export interface DispatcherTarget {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly isSelf: boolean;
}

/** Interval between pings of the first responsive candidate by a daemon that may take over its role. */
const FIRST_PING_MILLISECONDS = 450;
/** Interval between pings of the second responsive candidate by such a daemon. */
const STANDBY_PING_MILLISECONDS = 900;
/** Interval between pings of a responsive candidate by other daemons, which also notice its loss by slot requests. */
const ENTRY_PING_MILLISECONDS = 1000;
/** Interval between pings of unresponsive candidates. */
const UNRESPONSIVE_PING_MILLISECONDS = 1200;
const TICK_MILLISECONDS = 150;
/** A daemon that has not responded to a ping after this time counts as unresponsive. */
const PONG_TIMEOUT_MILLISECONDS = 250;
/** Number of responsive candidates per role: the active one and its standby. */
const LEADING_CANDIDATES = 2;
/**
 * Number of candidates of a role that are pinged for the first time at once, besides as many as are known as
 * unresponsive. While all daemons start, no candidate is usable, and each would otherwise ping the whole fleet.
 */
const FIRST_PINGS_PER_ROLE = 4;

/** Options of `Candidates`. */
export interface CandidatesOptions {
  readonly members: MemberTable;
  /** The roles of dispatching a cell; empty until the endpoints are known. */
  readonly listCells: () => Iterable<Role>;
  /** Whether this daemon may dispatch. */
  readonly isSelfUsable: () => boolean;
  /** Versions of the local state, which a ping reports. */
  readonly getVersions: () => Pick<
    datagrams.Ping,
    'configurationVersion' | 'directoryRevision' | 'directoryEra'
  >;
  readonly send: (message: datagrams.Message, target: DispatcherTarget) => void;
  readonly onChange: (name: string, responsive: boolean) => void;
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
}

/** Monitors the candidates of the roles that concern this daemon. */
export class Candidates {
  private readonly contacts = new Map<string, Contact>();

  /** Names of the roles that were monitored at the last tick. */
  private monitored = new Set<string>([STORE_WATCHER_ROLE.name]);

  private timer: NodeJS.Timeout | undefined;

  /** Result of `isSelfDispatcherOrStandby`; undefined after a change. */
  private leadsAnyCell: boolean | undefined;

  private readonly monitoredCells: MonitoredCells;

  /** Sequence number of the last ping to any daemon. */
  private lastSequence = 0;

  /** Sequence number of the last ping before the latest suspension of this daemon. */
  private suspendedSequence = 0;

  constructor(private readonly options: CandidatesOptions) {
    this.monitoredCells = new MonitoredCells(options.members);
  }

  start(): void {
    this.timer = setInterval(() => this.tick(), TICK_MILLISECONDS);
    this.tick();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Returns the first usable daemon that was not tried yet, or this daemon if there is none. */
  choose(role: Role, tried: ReadonlySet<string>): DispatcherTarget {
    if (this.hasNoPeerFor(role)) {
      return this.getSelf();
    }
    for (const member of this.options.members.iterateRanking(role)) {
      if (!tried.has(member.name) && this.isUsable(member, role)) {
        return this.toTarget(member);
      }
    }
    return this.toTarget(this.options.members.self);
  }

  /** Returns this daemon as a target. */
  getSelf(): DispatcherTarget {
    return this.toTarget(this.options.members.self);
  }

  /** Returns the names of the first responsive candidates of a role; this daemon always counts as responsive. */
  listLeading(role: Role): string[] {
    const { self } = this.options.members;
    if (this.hasNoPeerFor(role)) {
      return [self.name];
    }
    const leading: string[] = [];
    for (const member of this.options.members.iterateRanking(role)) {
      if (member.name === self.name || this.isUsable(member, role)) {
        leading.push(member.name);
      }
      if (leading.length >= LEADING_CANDIDATES) {
        break;
      }
    }
    return leading;
  }

  /** Whether this daemon is among the first responsive candidates of a role. */
  isSelfLeading(role: Role): boolean {
    return this.listLeading(role).includes(this.options.members.self.name);
  }

  /** Whether this daemon monitors the candidates of a role. */
  isMonitored(role: Role): boolean {
    return this.monitored.has(role.name);
  }

  /** Whether this daemon is the dispatcher or the standby of any cell, as of the last tick or change of a candidate. */
  isSelfDispatcherOrStandby(): boolean {
    this.leadsAnyCell ??= this.computeLeadsAnyCell();
    return this.leadsAnyCell;
  }

  private computeLeadsAnyCell(): boolean {
    for (const cell of this.options.listCells()) {
      if (this.isSelfLeading(cell)) {
        return true;
      }
    }
    return false;
  }

  /** Whether any other daemon is responsive and may dispatch. */
  hasUsablePeer(): boolean {
    for (const [name, { responsive, settled }] of this.contacts) {
      if (responsive && settled && name !== this.options.members.self.name) {
        return true;
      }
    }
    return false;
  }

  /** Whether no other daemon can be used for a role, so that its ranking is not needed. */
  private hasNoPeerFor(role: Role): boolean {
    return role !== STORE_WATCHER_ROLE && !this.hasUsablePeer();
  }

  /** Pings all monitored daemons immediately, to announce new local versions. */
  pingAll(): void {
    for (const contact of this.contacts.values()) {
      contact.lastPingAt = -Infinity;
      contact.pendingSince = undefined;
    }
    this.tick();
  }

  /**
   * Pings all monitored daemons again after this daemon was suspended. Responses to earlier pings may be old, and those
   * that are missing say nothing about the other daemons.
   */
  resume(): void {
    this.suspendedSequence = this.lastSequence;
    this.pingAll();
  }

  /** Whether a pong is the response to a ping that was sent after the latest suspension of this daemon. */
  isCurrent({ sequence }: Pick<datagrams.Pong, 'sequence'>): boolean {
    return sequence > this.suspendedSequence;
  }

  /** Records that a daemon did not respond to a slot request. */
  markUnresponsive(name: string): void {
    this.setResponsive(name, false);
    const contact = this.contacts.get(name) ?? createContact();
    this.contacts.set(name, contact);
    contact.known = true;
    this.leadsAnyCell = undefined;
    contact.lastPingAt =
      this.options.now() - UNRESPONSIVE_PING_MILLISECONDS + PONG_TIMEOUT_MILLISECONDS;
  }

  /** Records a pong; those of daemons that are not monitored are ignored. */
  receivePong(name: string, pong: datagrams.Pong): void {
    const contact = this.contacts.get(name);
    if (contact === undefined) {
      return;
    }
    contact.pendingSince = undefined;
    contact.known = true;
    if (contact.settled !== pong.settled) {
      contact.settled = pong.settled;
      this.leadsAnyCell = undefined;
    }
    this.setResponsive(name, !pong.stopping);
  }

  /** Converts a member to a target. */
  toTarget({ name, host, datagramPort }: Member): DispatcherTarget {
    return { name, host, port: datagramPort, isSelf: name === this.options.members.self.name };
  }

  private isUsable(member: Member, role: Role): boolean {
    if (member.name === this.options.members.self.name) {
      return this.options.isSelfUsable();
    }
    const contact = this.contacts.get(member.name);
    if (contact === undefined) {
      // While no daemon responds, for instance because all start together, the others can't be assumed to respond.
      return !this.isMonitored(role) && this.hasUsablePeer();
    }
    return contact.responsive && (contact.settled || role === STORE_WATCHER_ROLE);
  }

  private setResponsive(name: string, responsive: boolean): void {
    const contact = this.contacts.get(name);
    if (contact !== undefined && contact.responsive !== responsive) {
      contact.responsive = responsive;
      this.leadsAnyCell = undefined;
      this.options.onChange(name, responsive);
    }
  }

  /** Ends pings without a response and sends those that are due; called at each interval of the timer. */
  tick(): void {
    const now = this.options.now();
    for (const [name, contact] of this.contacts) {
      if (
        contact.pendingSince !== undefined &&
        now - contact.pendingSince > PONG_TIMEOUT_MILLISECONDS
      ) {
        contact.pendingSince = undefined;
        contact.known = true;
        this.setResponsive(name, false);
      }
    }
    this.leadsAnyCell = undefined;
    const roles = this.listMonitoredRoles();
    this.monitored = new Set(roles.map(({ name }) => name));
    this.leadsAnyCell = undefined;
    const intervals = new Map<string, { member: Member; interval: number }>();
    for (const role of roles) {
      this.collectIntervals(role, intervals);
    }
    this.collectUnresponsive(intervals);
    const standby = this.isSelfDispatcherOrStandby();
    for (const { member, interval } of intervals.values()) {
      this.ping(member, interval, standby, now);
    }
    for (const name of this.contacts.keys()) {
      if (!intervals.has(name)) {
        this.contacts.delete(name);
      }
    }
  }

  /** Lists the monitored roles. */
  private listMonitoredRoles(): Role[] {
    const { members, listCells } = this.options;
    const cells = [...listCells()];
    const roles = [...this.monitoredCells.list(cells)];
    // Dispatchers pass the age of the store's state on to the daemons that do not monitor its watchers.
    if (
      cells.length === 0 ||
      members.isSelfAmongFirst(STORE_WATCHER_ROLE, TAKEOVER_RANKS) ||
      this.isSelfDispatcherOrStandby()
    ) {
      roles.push(STORE_WATCHER_ROLE);
    }
    return roles;
  }

  /** Adds the candidates of a role with their ping intervals; a candidate of several roles gets the shortest interval. */
  private collectIntervals(
    role: Role,
    intervals: Map<string, { member: Member; interval: number }>,
  ): void {
    const { members } = this.options;
    const mayTakeOver = members.isSelfAmongFirst(role, TAKEOVER_RANKS);
    let leadingCount = 0;
    let firstPings = FIRST_PINGS_PER_ROLE;
    for (const member of members.iterateRanking(role)) {
      const isSelf = member.name === members.self.name;
      const responsive = isSelf || this.isUsable(member, role);
      if (!responsive) {
        firstPings += countFirstPings(this.contacts.get(member.name));
      }
      if (firstPings < 0) {
        return;
      }
      let interval = UNRESPONSIVE_PING_MILLISECONDS;
      if (responsive) {
        const takeoverInterval =
          leadingCount === 0 ? FIRST_PING_MILLISECONDS : STANDBY_PING_MILLISECONDS;
        interval = mayTakeOver ? takeoverInterval : ENTRY_PING_MILLISECONDS;
        leadingCount += 1;
      }
      if (!isSelf) {
        const shortest = intervals.get(member.name)?.interval ?? Infinity;
        intervals.set(member.name, { member, interval: Math.min(shortest, interval) });
      }
      if (leadingCount >= LEADING_CANDIDATES) {
        return;
      }
    }
  }

  /** Adds the daemons that did not respond to a slot request, to notice when they respond again. */
  private collectUnresponsive(intervals: Map<string, { member: Member; interval: number }>): void {
    for (const [name, { responsive }] of this.contacts) {
      const member = this.options.members.find(name);
      if (!responsive && member !== undefined && !intervals.has(name)) {
        intervals.set(name, { member, interval: UNRESPONSIVE_PING_MILLISECONDS });
      }
    }
  }

  private ping(member: Member, interval: number, standby: boolean, now: number): void {
    const contact = this.contacts.get(member.name) ?? createContact();
    this.contacts.set(member.name, contact);
    if (contact.pendingSince !== undefined || now - contact.lastPingAt < interval) {
      return;
    }
    this.lastSequence += 1;
    contact.pendingSince = now;
    contact.lastPingAt = now;
    const { name } = this.options.members.self;
    this.options.send(
      ['ping', { sequence: this.lastSequence, name, standby, ...this.options.getVersions() }],
      this.toTarget(member),
    );
  }
}
