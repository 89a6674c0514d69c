/**
 * The phases of the measurement of configuration: changes under faults of the store and of the peers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { callAdministration, type ChangeWriter, type Submission } from './change-writer.js';
import type { SeededRandom } from './seeded-random.js';
import type { RevisionLog } from './revision-log.js';

const CHANGE_INTERVAL_MILLISECONDS = 250;
const OUTAGE_MILLISECONDS = 1500;
const RECOVERY_MILLISECONDS = 500;
const LOST_ANSWER_SHARE = 0.3;
const PARTED_SHARE = 0.1;
const RACE_INTERVAL = 4;
const ENTITIES = 50;

/** An accepted change and the phase in which it was. */
export interface AcceptedChange {
  readonly phase: string;
  readonly submission: Submission;
}

/** What the writers were told. */
export interface WriterCounts {
  conflicts: number;
  failures: number;
  /** Races in which more than one writer was told that its change was accepted. */
  doubleAcceptances: number;
}

/** Options of `ConfigurationPhases`. */
export interface PhasesOptions {
  readonly fleet: LocalFleet;
  readonly writer: ChangeWriter;
  readonly random: SeededRandom;
  readonly log: RevisionLog;
  /** Whether the links between daemons can be parted. */
  readonly peersProxied: boolean;
}

/** Writes changes in one phase after another. */
export class ConfigurationPhases {
  readonly accepted: AcceptedChange[] = [];

  readonly counts: WriterCounts = { conflicts: 0, failures: 0, doubleAcceptances: 0 };

  private revision = 1;

  private attempts = 0;

  private readonly absent = new Set<DaemonProcess>();

  constructor(private readonly options: PhasesOptions) {}

  /** Changes without a fault; some of them by two writers at the same time. */
  async runWithoutFaults(milliseconds: number): Promise<void> {
    await this.writeFor('calm', milliseconds);
  }

  /** Outages of the store that begin with the answer to a change. */
  async runOutages(milliseconds: number): Promise<void> {
    const { store } = this.options.fleet;
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      await this.writeOne('outage');
      await store.control.post('/faults', { outage: 'reset' });
      await delay(OUTAGE_MILLISECONDS);
      await store.control.post('/faults', { outage: 'none' });
      await delay(RECOVERY_MILLISECONDS);
    }
  }

  /** The store loses a share of the answers to writes. */
  async runLostAnswers(milliseconds: number): Promise<void> {
    const { store } = this.options.fleet;
    await store.control.post('/faults', { lostWriteAnswerShare: LOST_ANSWER_SHARE });
    await this.writeFor('lostAnswers', milliseconds);
    await store.control.post('/faults', { lostWriteAnswerShare: 0 });
  }

  /** A tenth of the daemons receives nothing on connections of other daemons. */
  async runPartition(milliseconds: number): Promise<void> {
    const { fleet, random, peersProxied } = this.options;
    if (!peersProxied) {
      return;
    }
    const parted = random.sample(fleet.daemons, Math.round(fleet.daemons.length * PARTED_SHARE));
    const links = parted.map((daemon) => `peer:${daemon.name}`);
    await fleet.setLinkFaults(links, { dropForward: true });
    await this.writeFor('partition', milliseconds);
    await fleet.setLinkFaults(links, { dropForward: false });
  }

  /** Daemons are replaced in turn, by SIGKILL and by SIGTERM. */
  async runRestarts(milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    await Promise.all([
      this.writeFor('restarts', milliseconds),
      this.replaceUntil(until, 0),
      this.replaceUntil(until, 1),
    ]);
  }

  /** Returns accepted changes that the log in the store does not have. */
  async countLost(): Promise<number> {
    let lost = 0;
    for (const { submission } of this.accepted) {
      const path = `/v1/changes?after=${submission.revision - 1}&limit=1`;
      const { body } = await callAdministration(this.options.fleet.daemons[0]!, 'GET', path);
      lost += JSON.stringify(body).includes(`"${submission.id}"`) ? 0 : 1;
    }
    return lost;
  }

  private async writeFor(phase: string, milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      await this.writeOne(phase);
      await delay(CHANGE_INTERVAL_MILLISECONDS);
    }
  }

  private async writeOne(phase: string): Promise<void> {
    this.attempts += 1;
    const writers = this.attempts % RACE_INTERVAL === 0 ? 2 : 1;
    const present = this.options.fleet.daemons.filter((daemon) => !this.absent.has(daemon));
    // Writers that race change the same entity; changes of different ones may follow each other.
    const entity = `writer-${this.attempts % ENTITIES}`;
    const submissions = await Promise.all(
      Array.from({ length: writers }, async () =>
        this.options.writer.submit(present, this.revision, entity),
      ),
    );
    const accepted = submissions.filter(({ outcome }) => outcome === 'accepted');
    this.counts.conflicts += submissions.filter(({ outcome }) => outcome === 'conflict').length;
    this.counts.failures += submissions.filter(({ outcome }) => outcome === 'failed').length;
    this.counts.doubleAcceptances += accepted.length > 1 ? 1 : 0;
    for (const submission of accepted) {
      this.accepted.push({ phase, submission });
      this.revision = submission.revision;
    }
    if (accepted.length === 0) {
      await this.readRevision(present);
    }
  }

  // After a failure the writer reads which revision the fleet has, as an operator would.
  private async readRevision(daemons: readonly DaemonProcess[]): Promise<void> {
    for (const daemon of this.options.random.sample(daemons, 3)) {
      const answer = await callAdministration(daemon, 'GET', '/v1/status').catch(() => undefined);
      const { acceptedRevision } = (answer?.body ?? {}) as { acceptedRevision?: number };
      this.revision = Math.max(this.revision, acceptedRevision ?? 0);
    }
  }

  private async replaceUntil(until: number, parity: number): Promise<void> {
    const { fleet, log } = this.options;
    for (const [index, daemon] of fleet.daemons.entries()) {
      if (performance.now() > until) {
        return;
      }
      // Daemon 0 answers the questions of the measurement.
      if (index % 2 === parity && index > 0) {
        this.absent.add(daemon);
        log.recordExit(daemon);
        await (parity === 0 ? daemon.kill() : daemon.stop());
        await daemon.start();
        await daemon.waitUntilReady();
        this.absent.delete(daemon);
      }
    }
  }
}
