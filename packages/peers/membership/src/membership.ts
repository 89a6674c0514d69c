/**
 * Membership based on SWIM: each daemon probes one member at a time, probes it through other members
 * when it does not respond, and piggybacks gossip on its probes.
 */
import { EventEmitter } from 'node:events';
import type * as peerLink from '@dogwoodstall/peer-link';
import * as most from 'most';
import { createHandlers } from './handlers.js';
import { createIncarnation } from './incarnation.js';
import { LeavingVmOverlay } from './leaving-vm-overlay.js';
import { MemberTable, type Gossip } from './member-table.js';
import type { MembershipOptions } from './options.js';
import { ProbeSchedule } from './probe-schedule.js';
import { InterruptibleDelay } from './interruptible-delay.js';
import { Prober, type ProbeResult } from './prober.js';
import { SeededRandom } from './random.js';
import { Rejoiner } from './rejoiner.js';
import { SuspicionTimers } from './suspicion-timers.js';
import { defaultTimings, type MembershipTimings } from './timings.js';

const INDIRECT_PROBES = 3;
const LEAVE_TARGETS = 6;
const MAXIMUM_KEY_HOMES = 200;

/** A member as seen from this daemon. */
export type Member = Readonly<peerLink.MemberUpdate>;

/** The members of the fleet as seen from this daemon. */
export class Membership {
  /** Emits all members after each change of a state, address or announced data, except revisions. */
  readonly changes: most.Stream<readonly Member[]>;

  /** The handlers of the membership procedures. */
  readonly handlers: Pick<peerLink.PeerHandlers, 'probe' | 'indirectProbe'>;

  private readonly options: MembershipOptions;

  private readonly timings: MembershipTimings;

  private readonly table: MemberTable;

  private readonly prober: Prober;

  private readonly rejoiner: Rejoiner;

  private readonly random: SeededRandom;

  private readonly emitter = new EventEmitter();

  private readonly stopping = new AbortController();

  private readonly unreachable = new Set<string>();

  private readonly suspicionTimers: SuspicionTimers;

  private readonly leavingVms: LeavingVmOverlay;

  /** The delay before the next round. */
  private readonly delay = new InterruptibleDelay();

  private readonly schedule: ProbeSchedule;

  private emitScheduled = false;

  private task: Promise<void> | undefined;

  constructor(options: MembershipOptions) {
    this.options = options;
    this.timings = { ...defaultTimings, ...options.timings };
    const incarnation = createIncarnation();
    this.random = new SeededRandom(options.seed ?? incarnation % 2 ** 31);
    this.emitter.setMaxListeners(0);
    this.changes = most.fromEvent<readonly Member[]>('members', this.emitter).multicast();
    this.table = new MemberTable(
      {
        name: options.name,
        zone: options.zone,
        region: options.region,
        peerAddress: options.peerAddress,
        incarnation,
        counter: 0,
        state: 'alive',
        condition: 'starting',
        revision: 0,
        keyHomes: [],
      },
      (member, previous) => this.handleChange(member, previous),
    );
    const applyGossip = (gossip: Gossip): void => {
      this.table.mergeGossip(gossip);
      options.onMemberUpdate?.(gossip.from);
    };
    this.prober = new Prober({
      applyGossip,
      links: options.links,
      table: this.table,
      timings: this.timings,
      signal: this.stopping.signal,
      chooseHelpers: (target) => this.chooseHelpers(target),
    });
    const listedVms = options.listedVms ?? (() => []);
    this.leavingVms = new LeavingVmOverlay(listedVms);
    this.schedule = new ProbeSchedule(options.name, this.random);
    this.rejoiner = new Rejoiner({
      name: options.name,
      peerAddress: options.peerAddress,
      seeds: options.seeds ?? [],
      listedVms,
      links: options.links,
      table: this.table,
      prober: this.prober,
      timings: this.timings,
      random: this.random,
      onReached: (name) => this.unreachable.delete(name),
    });
    this.suspicionTimers = new SuspicionTimers({
      milliseconds: this.timings.suspicion,
      confirm: (name) => this.confirmSuspicion(name),
      declareFailed: (name) => this.declareFailed(name),
    });
    this.handlers = createHandlers(this.table, this.prober, applyGossip);
  }

  /** The current update of this daemon about itself. */
  get self(): Member {
    return this.table.self;
  }

  /** Returns every member that has not failed, this daemon included. */
  members(): Member[] {
    return [this.table.self, ...this.leavingVms.apply(this.table.peers)];
  }

  /** Returns a member by name, this daemon and failed members included. */
  find(name: string): Member | undefined {
    return name === this.options.name ? this.table.self : this.table.find(name);
  }

  /**
   * Returns the member that stores the idempotency records of an incarnation. The member that they
   * were transferred to takes precedence over their origin, which may have stopped since.
   */
  findKeyHome(incarnation: number): Member | undefined {
    const now = Date.now();
    let found: Member | undefined;
    for (const member of this.members()) {
      const isHome = member.keyHomes.some(
        (home) => home.incarnation === incarnation && home.expiresAtEpochMilliseconds > now,
      );
      if (isHome && member.state !== 'leaving') {
        return member;
      }
      if (isHome || (member.incarnation === incarnation && found === undefined)) {
        found = member;
      }
    }
    return found;
  }

  /** Returns whether the last call from this daemon to a member succeeded or none was made. */
  isReachable(name: string): boolean {
    return !this.unreachable.has(name) && this.find(name)?.state !== 'failed';
  }

  /** Records a failed call to a member, which is then probed next. */
  reportUnreachable(name: string): void {
    if (this.table.find(name) === undefined) {
      return;
    }
    this.unreachable.add(name);
    this.schedule.addUrgent(name, this.timings.probeInterval);
    this.delay.interrupt();
  }

  /** Records a successful call to a member. */
  reportReachable(name: string): void {
    this.unreachable.delete(name);
  }

  /** Announces the active configuration revision. */
  announceRevision(revision: number): void {
    this.table.announceRevision(revision);
  }

  /** Announces the condition of this daemon, such as `ready`. */
  announceCondition(condition: string): void {
    if (condition !== this.table.self.condition) {
      this.table.announce({ condition });
    }
  }

  /** Announces that this daemon stores the idempotency records of a stopped daemon. */
  announceKeyHome(incarnation: number, expiresAtEpochMilliseconds: number): void {
    const now = Date.now();
    const keyHomes = this.table.self.keyHomes
      .filter((home) => home.incarnation !== incarnation && home.expiresAtEpochMilliseconds > now)
      .concat({ incarnation, expiresAtEpochMilliseconds })
      .sort((left, right) => right.expiresAtEpochMilliseconds - left.expiresAtEpochMilliseconds)
      .slice(0, MAXIMUM_KEY_HOMES);
    this.table.announce({ keyHomes });
  }

  /** Starts probing. */
  start(): void {
    this.task ??= this.run();
  }

  /** Announces that this daemon is leaving; it continues to respond and probe until `stop`. */
  async leave(): Promise<void> {
    if (this.table.self.state !== 'leaving') {
      this.table.announce({ state: 'leaving' });
    }
    const targets = this.random.sample(this.livePeers(), LEAVE_TARGETS);
    await Promise.all(targets.map((target) => this.prober.probeDirectly(target, false)));
  }

  /** Stops probing. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.delay.interrupt();
    this.suspicionTimers.clear();
    await this.task;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const startedAt = performance.now();
      await this.probeNext();
      await this.rejoiner.retryNext();
      this.removeOldMembers();
      if (this.leavingVms.refresh()) {
        this.scheduleEmit();
      }
      await this.waitForNextRound(startedAt);
    }
  }

  private async waitForNextRound(startedAt: number): Promise<void> {
    if (!this.schedule.hasUrgent && !this.stopping.signal.aborted) {
      const passed = performance.now() - startedAt;
      await this.delay.wait(Math.max(1, this.timings.probeInterval - passed));
    }
  }

  private async probeNext(): Promise<void> {
    const target = this.schedule.next(this.livePeers());
    if (target === undefined) {
      return;
    }
    this.recordProbeResult(target, await this.prober.probe(target));
  }

  private recordProbeResult(target: Member, result: ProbeResult): void {
    if (this.stopping.signal.aborted) {
      return;
    }
    if (result === 'direct') {
      this.unreachable.delete(target.name);
      return;
    }
    this.unreachable.add(target.name);
    if (result === 'indirect') {
      this.options.logger?.warn('member answers only through others', { member: target.name });
      return;
    }
    const known = this.table.find(target.name);
    if (known === undefined || known.incarnation !== target.incarnation) {
      return;
    }
    if (known.state === 'leaving') {
      this.table.merge({ ...known, state: 'failed' });
    } else if (known.state === 'alive' && this.table.merge({ ...known, state: 'suspect' })) {
      this.suspicionTimers.startOwn(known.name);
    }
  }

  // The second probe reports the suspicion to the member, so that its response can refute it. In a
  // large fleet, gossip of the refutation would take more rounds to arrive.
  private confirmSuspicion(name: string): void {
    const suspect = this.table.find(name);
    if (suspect?.state === 'suspect') {
      this.prober
        .probe(suspect)
        .then((result) => this.recordProbeResult(suspect, result))
        .catch(() => {});
    }
  }

  private declareFailed(name: string): void {
    const suspect = this.table.find(name);
    if (suspect?.state === 'suspect') {
      this.table.merge({ ...suspect, state: 'failed' });
    }
  }

  private handleChange(member: Member, previous: Member | undefined): void {
    const { name, state } = member;
    if (state !== previous?.state || member.incarnation !== previous.incarnation) {
      const from = previous?.state ?? 'unknown';
      this.options.logger?.info('member changed state', { member: name, from, to: state });
    }
    if (state !== 'suspect') {
      this.suspicionTimers.cancel(name);
    } else if (previous?.state !== 'suspect' || member.counter !== previous.counter) {
      this.suspicionTimers.startReceived(name);
    }
    if (state === 'failed') {
      this.options.links.remove(name);
    }
    if (member.incarnation !== previous?.incarnation) {
      this.unreachable.delete(name);
    }
    this.scheduleEmit();
  }

  private scheduleEmit(): void {
    if (this.emitScheduled) {
      return;
    }
    this.emitScheduled = true;
    queueMicrotask(() => {
      this.emitScheduled = false;
      this.emitter.emit('members', this.members());
    });
  }

  private livePeers(): Member[] {
    return [...this.table.peers].filter((member) => member.state !== 'failed');
  }

  private chooseHelpers(target: string): Member[] {
    const candidates = this.livePeers().filter(
      (peer) => peer.name !== target && peer.state === 'alive' && this.isReachable(peer.name),
    );
    return this.random.sample(candidates, INDIRECT_PROBES);
  }

  private removeOldMembers(): void {
    for (const name of this.table.removeOldFailures(performance.now())) {
      this.unreachable.delete(name);
      this.schedule.remove(name);
    }
  }
}
