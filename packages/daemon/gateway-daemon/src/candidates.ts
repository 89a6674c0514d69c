/**
 * The daemons that may perform each duty, and which of them answer. Each daemon pings the first two that answer
 * and, more rarely, those that rank before them.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import { type Duty, type Member, type MemberTable, STORE_DUTY } from './member.js';

/** A daemon that may be asked. */
export interface DispatcherTarget {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly isSelf: boolean;
}

interface Contact {
  /** When the last ping left that was not answered yet; undefined when none is open. */
  openSince: number | undefined;
  lastPingAt: number;
  /** Whether the daemon answers and does not stop. */
  responsive: boolean;
  /** Whether the daemon may dispatch. */
  settled: boolean;
  sequence: number;
}

/** Interval between pings of the first candidate. */
const FIRST_PING_MILLISECONDS = 450;
/** Interval between pings of the second one. */
const STANDBY_PING_MILLISECONDS = 900;
/** Interval between pings of daemons that do not answer. */
const SILENT_PING_MILLISECONDS = 1200;
const TICK_MILLISECONDS = 150;
/** A ping without an answer for this long makes a daemon silent. */
const PONG_MILLISECONDS = 250;
/** Candidates that answer and are followed, per duty. */
const FOLLOWED = 2;

/** Options of `Candidates`. */
export interface CandidatesOptions {
  readonly members: MemberTable;
  /** The duties whose candidates are followed. */
  readonly listDuties: () => Iterable<Duty>;
  /** The duties of dispatching. */
  readonly listCells: () => Iterable<Duty>;
  /** Whether this daemon may dispatch, because it knows the directory. */
  readonly isSelfAble: () => boolean;
  /** What this daemon tells about itself in a ping. */
  readonly describeKnowledge: () => Pick<
    datagrams.Ping,
    'configurationVersion' | 'directoryRevision'
  >;
  readonly send: (message: datagrams.Message, target: DispatcherTarget) => void;
  readonly onChange: (name: string, responsive: boolean) => void;
}

/** Follows the candidates of all duties. */
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

  /** Returns the first daemon that answers, or this daemon. */
  choose(duty: Duty, passed: ReadonlySet<string>): DispatcherTarget {
    for (const member of this.options.members.rank(duty)) {
      if (!passed.has(member.name) && this.isUsable(member, duty)) {
        return this.describe(member);
      }
    }
    return this.describe(this.options.members.self);
  }

  /** Names of the first daemons that answer for a duty; this daemon counts as one that answers. */
  listFollowed(duty: Duty): string[] {
    const { self } = this.options.members;
    const followed: string[] = [];
    for (const member of this.options.members.rank(duty)) {
      if (member.name === self.name || this.isUsable(member, duty)) {
        followed.push(member.name);
      }
      if (followed.length >= FOLLOWED) {
        break;
      }
    }
    return followed;
  }

  /** Whether this daemon is among the first that answer for a duty. */
  isSelfFollowed(duty: Duty): boolean {
    return this.listFollowed(duty).includes(this.options.members.self.name);
  }

  /** Whether this daemon dispatches a cell or would be the next to do so. */
  isSelfDispatching(): boolean {
    for (const cell of this.options.listCells()) {
      if (this.isSelfFollowed(cell)) {
        return true;
      }
    }
    return false;
  }

  /** Whether any other daemon answers that may dispatch. */
  hasContact(): boolean {
    for (const [name, { responsive, settled }] of this.contacts) {
      if (responsive && settled && name !== this.options.members.self.name) {
        return true;
      }
    }
    return false;
  }

  /** Pings every followed daemon now, to tell it what this one has just learned. */
  pingAll(): void {
    for (const contact of this.contacts.values()) {
      contact.lastPingAt = -Infinity;
      contact.openSince = undefined;
    }
    this.tick();
  }

  /** Notes that a daemon did not answer an ask. */
  markSilent(name: string): void {
    this.setResponsive(name, false);
    const contact = this.contacts.get(name);
    if (contact !== undefined) {
      contact.lastPingAt = performance.now() - SILENT_PING_MILLISECONDS + PONG_MILLISECONDS;
    }
  }

  /** Notes the answer to a ping; returns whether it is one. */
  receivePong(name: string, pong: datagrams.Pong): void {
    const contact = this.contacts.get(name);
    if (contact === undefined) {
      return;
    }
    contact.openSince = undefined;
    contact.settled = pong.settled;
    this.setResponsive(name, !pong.stopping);
  }

  /** Returns the target behind a member. */
  describe({ name, host, datagramPort }: Member): DispatcherTarget {
    return { name, host, port: datagramPort, isSelf: name === this.options.members.self.name };
  }

  private isUsable(member: Member, duty: Duty): boolean {
    if (member.name === this.options.members.self.name) {
      return this.options.isSelfAble();
    }
    const contact = this.contacts.get(member.name);
    return contact !== undefined && contact.responsive && (contact.settled || duty === STORE_DUTY);
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
      if (contact.openSince !== undefined && now - contact.openSince > PONG_MILLISECONDS) {
        contact.openSince = undefined;
        this.setResponsive(name, false);
      }
    }
    const intervals = new Map<string, { member: Member; interval: number }>();
    for (const duty of this.options.listDuties()) {
      this.collect(duty, intervals);
    }
    const standby = this.isSelfDispatching();
    for (const { member, interval } of intervals.values()) {
      this.ping(member, interval, standby, now);
    }
    for (const name of this.contacts.keys()) {
      if (!intervals.has(name)) {
        this.contacts.delete(name);
      }
    }
  }

  private collect(duty: Duty, intervals: Map<string, { member: Member; interval: number }>): void {
    const { members } = this.options;
    let answering = 0;
    for (const member of members.rank(duty)) {
      const isSelf = member.name === members.self.name;
      const responsive = isSelf || this.isUsable(member, duty);
      let interval = SILENT_PING_MILLISECONDS;
      if (responsive) {
        interval = answering === 0 ? FIRST_PING_MILLISECONDS : STANDBY_PING_MILLISECONDS;
        answering += 1;
      }
      if (!isSelf) {
        const known = intervals.get(member.name)?.interval ?? Infinity;
        intervals.set(member.name, { member, interval: Math.min(known, interval) });
      }
      if (answering >= FOLLOWED) {
        return;
      }
    }
  }

  private ping(member: Member, interval: number, standby: boolean, now: number): void {
    let contact = this.contacts.get(member.name);
    if (contact === undefined) {
      contact = {
        openSince: undefined,
        lastPingAt: -Infinity,
        responsive: false,
        settled: false,
        sequence: 0,
      };
      this.contacts.set(member.name, contact);
    }
    if (contact.openSince !== undefined || now - contact.lastPingAt < interval) {
      return;
    }
    contact.sequence += 1;
    contact.openSince = now;
    contact.lastPingAt = now;
    const { name } = this.options.members.self;
    this.options.send(
      ['ping', { sequence: contact.sequence, name, standby, ...this.options.describeKnowledge() }],
      this.describe(member),
    );
  }
}
