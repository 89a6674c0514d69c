/**
 * Failure detection for the daemons that are candidates for each role. Each daemon pings the first two responsive
 * candidates of a role and, less often, the unresponsive ones that rank before them.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import { type Member, type MemberTable, type Role, STORE_WATCHER_ROLE } from './member.js';

/** Address of a daemon that may dispatch. */
export interface DispatcherTarget {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly isSelf: boolean;
}

interface Contact {
  /** Time at which the pending ping was sent; undefined when there is none. */
  pendingSince: number | undefined;
  lastPingAt: number;
  /** Whether the daemon responds and is not stopping. */
  responsive: boolean;
  /** Whether the daemon knows enough to dispatch. */
  settled: boolean;
  sequence: number;
}

/** Interval between pings of the first responsive candidate. */
const FIRST_PING_MILLISECONDS = 450;
/** Interval between pings of the second responsive candidate. */
const STANDBY_PING_MILLISECONDS = 900;
/** Interval between pings of unresponsive candidates. */
const UNRESPONSIVE_PING_MILLISECONDS = 1200;
const TICK_MILLISECONDS = 150;
/** A daemon that has not responded to a ping after this time counts as unresponsive. */
const PONG_TIMEOUT_MILLISECONDS = 250;
/** Number of responsive candidates per role: the active one and its standby. */
const LEADING_CANDIDATES = 2;

/** Options of `Candidates`. */
export interface CandidatesOptions {
  readonly members: MemberTable;
  /** The roles whose candidates are monitored. */
  readonly listRoles: () => Iterable<Role>;
  /** The roles of dispatching a cell. */
  readonly listCells: () => Iterable<Role>;
  /** Whether this daemon may dispatch. */
  readonly isSelfUsable: () => boolean;
  /** Versions of the local state, which a ping reports. */
  readonly getVersions: () => Pick<datagrams.Ping, 'configurationVersion' | 'directoryRevision'>;
  readonly send: (message: datagrams.Message, target: DispatcherTarget) => void;
  readonly onChange: (name: string, responsive: boolean) => void;
}

/** Monitors the candidates of all roles. */
export class Candidates {
  private readonly contacts = new Map<string, Contact>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CandidatesOptions) {}

  start(): void {
    this.timer = setInterval(() => this.tick(), TICK_MILLISECONDS);
    this.tick();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Returns the first usable daemon that was not tried yet, or this daemon if there is none. */
  choose(role: Role, tried: ReadonlySet<string>): DispatcherTarget {
    for (const member of this.options.members.rank(role)) {
      if (!tried.has(member.name) && this.isUsable(member, role)) {
        return this.toTarget(member);
      }
    }
    return this.toTarget(this.options.members.self);
  }

  /** Returns the names of the first responsive candidates of a role; this daemon always counts as responsive. */
  listLeading(role: Role): string[] {
    const { self } = this.options.members;
    const leading: string[] = [];
    for (const member of this.options.members.rank(role)) {
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

  /** Whether this daemon is the dispatcher or the standby of any cell. */
  isSelfDispatcherOrStandby(): boolean {
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

  /** Pings all monitored daemons immediately, to announce new local versions. */
  pingAll(): void {
    for (const contact of this.contacts.values()) {
      contact.lastPingAt = -Infinity;
      contact.pendingSince = undefined;
    }
    this.tick();
  }

  /** Records that a daemon did not respond to a slot request. */
  markUnresponsive(name: string): void {
    this.setResponsive(name, false);
    const contact = this.contacts.get(name);
    if (contact !== undefined) {
      contact.lastPingAt =
        performance.now() - UNRESPONSIVE_PING_MILLISECONDS + PONG_TIMEOUT_MILLISECONDS;
    }
  }

  /** Records a pong; those of daemons that are not monitored are ignored. */
  receivePong(name: string, pong: datagrams.Pong): void {
    const contact = this.contacts.get(name);
    if (contact === undefined) {
      return;
    }
    contact.pendingSince = undefined;
    contact.settled = pong.settled;
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
    return (
      contact !== undefined &&
      contact.responsive &&
      (contact.settled || role === STORE_WATCHER_ROLE)
    );
  }

  private setResponsive(name: string, responsive: boolean): void {
    const contact = this.contacts.get(name);
    if (contact !== undefined && contact.responsive !== responsive) {
      contact.responsive = responsive;
      this.options.onChange(name, responsive);
    }
  }

  private tick(): void {
    const now = performance.now();
    for (const [name, contact] of this.contacts) {
      if (
        contact.pendingSince !== undefined &&
        now - contact.pendingSince > PONG_TIMEOUT_MILLISECONDS
      ) {
        contact.pendingSince = undefined;
        this.setResponsive(name, false);
      }
    }
    const intervals = new Map<string, { member: Member; interval: number }>();
    for (const role of this.options.listRoles()) {
      this.collectIntervals(role, intervals);
    }
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

  /** Adds the candidates of a role with their ping intervals; a candidate of several roles gets the shortest interval. */
  private collectIntervals(
    role: Role,
    intervals: Map<string, { member: Member; interval: number }>,
  ): void {
    const { members } = this.options;
    let leadingCount = 0;
    for (const member of members.rank(role)) {
      const isSelf = member.name === members.self.name;
      const responsive = isSelf || this.isUsable(member, role);
      let interval = UNRESPONSIVE_PING_MILLISECONDS;
      if (responsive) {
        interval = leadingCount === 0 ? FIRST_PING_MILLISECONDS : STANDBY_PING_MILLISECONDS;
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

  private ping(member: Member, interval: number, standby: boolean, now: number): void {
    let contact = this.contacts.get(member.name);
    if (contact === undefined) {
      contact = {
        pendingSince: undefined,
        lastPingAt: -Infinity,
        responsive: false,
        settled: false,
        sequence: 0,
      };
      this.contacts.set(member.name, contact);
    }
    if (contact.pendingSince !== undefined || now - contact.lastPingAt < interval) {
      return;
    }
    contact.sequence += 1;
    contact.pendingSince = now;
    contact.lastPingAt = now;
    const { name } = this.options.members.self;
    this.options.send(
      ['ping', { sequence: contact.sequence, name, standby, ...this.options.getVersions() }],
      this.toTarget(member),
    );
  }
}
