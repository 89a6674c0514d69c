/**
 * The phases of the `configuration` measurement: changes under faults of the store and of peer links.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import type { LocalFleet } from '../fleet/local-fleet.js';
import { callAdministration, type ChangeWriter, type Submission } from './change-writer.js';
import type { RevisionLog } from './revision-log.js';
import type { SeededRandom } from './seeded-random.js';

const CHANGE_INTERVAL_MILLISECONDS = 250;
const OUTAGE_MILLISECONDS = 1500;
const RECOVERY_MILLISECONDS = 500;
const LOST_RESPONSE_SHARE = 0.3;
const PARTITIONED_SHARE = 0.1;
const RACE_INTERVAL = 4;
const ENTITIES = 50;

/** An accepted change and the phase in which it was submitted. */
export interface AcceptedChange {
  readonly phase: string;
  readonly submission: Submission;
}

/** Counts of the responses to the writers. */
export interface WriterCounts {
  conflicts: number;
  failures: number;
  /** Races in which more than one writer received an acceptance. */
  doubleAcceptances: number;
}

/** Options of `ConfigurationPhases`. */
export interface PhasesOptions {
  readonly fleet: LocalFleet;
  readonly writer: ChangeWriter;
  readonly random: SeededRandom;
  readonly log: RevisionLog;
  /** Whether peer links run through proxies, which can partition them. */
  readonly peersProxied: boolean;
}

/** Submits changes while each phase injects its faults. */
export class ConfigurationPhases {
  readonly accepted: AcceptedChange[] = [];

  readonly counts: WriterCounts = { conflicts: 0, failures: 0, doubleAcceptances: 0 };

  private revision = 1;

  private attempts = 0;

  private readonly restarting = new Set<DaemonProcess>();

  constructor(private readonly options: PhasesOptions) {}

  /** Submits changes without faults, some of them by two writers concurrently. */
  async runWithoutFaults(milliseconds: number): Promise<void> {
    await this.writeChangesFor('calm', milliseconds);
  }

  /** Starts an outage of the store as soon as a change is accepted, and repeats this. */
  async runOutages(milliseconds: number): Promise<void> {
    const { store } = this.options.fleet;
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      await this.writeChange('outage');
      await store.control.post('/faults', { outage: 'reset' });
      await delay(OUTAGE_MILLISECONDS);
      await store.control.post('/faults', { outage: 'none' });
      await delay(RECOVERY_MILLISECONDS);
    }
  }

  /** Submits changes while the store loses a share of its responses to writes. */
  async runLostResponses(milliseconds: number): Promise<void> {
    const { store } = this.options.fleet;
    await store.control.post('/faults', { lostWriteAnswerShare: LOST_RESPONSE_SHARE });
    await this.writeChangesFor('lostAnswers', milliseconds);
    await store.control.post('/faults', { lostWriteAnswerShare: 0 });
  }

  /** Submits changes while a tenth of the daemons receives nothing on connections from other daemons. */
  async runPartition(milliseconds: number): Promise<void> {
    const { fleet, random, peersProxied } = this.options;
    if (!peersProxied) {
      return;
    }
    const partitioned = random.sample(
      fleet.daemons,
      Math.round(fleet.daemons.length * PARTITIONED_SHARE),
    );
    const links = partitioned.map((daemon) => `peer:${daemon.name}`);
    await fleet.setLinkFaults(links, { dropForward: true });
    await this.writeChangesFor('partition', milliseconds);
    await fleet.setLinkFaults(links, { dropForward: false });
  }

  /** Submits changes while daemons restart in turn, half of them by SIGKILL and half by SIGTERM. */
  async runRestarts(milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    await Promise.all([
      this.writeChangesFor('restarts', milliseconds),
      this.restartDaemonsUntil(until, 0),
      this.restartDaemonsUntil(until, 1),
    ]);
  }

  /** Returns the number of accepted changes that are missing from the log in the store. */
  async countLost(): Promise<number> {
    let lost = 0;
    for (const { submission } of this.accepted) {
      const path = `/v1/changes?after=${submission.revision - 1}&limit=1`;
      const { body } = await callAdministration(this.options.fleet.daemons[0]!, 'GET', path);
      lost += JSON.stringify(body).includes(`"${submission.id}"`) ? 0 : 1;
    }
    return lost;
  }

  private async writeChangesFor(phase: string, milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      await this.writeChange(phase);
      await delay(CHANGE_INTERVAL_MILLISECONDS);
    }
  }

  private async writeChange(phase: string): Promise<void> {
    this.attempts += 1;
    const writers = this.attempts % RACE_INTERVAL === 0 ? 2 : 1;
    const runningDaemons = this.options.fleet.daemons.filter(
      (daemon) => !this.restarting.has(daemon),
    );
    // Racing writers change the same entity; concurrent changes of different entities may all succeed.
    const entity = `writer-${this.attempts % ENTITIES}`;
    const submissions = await Promise.all(
      Array.from({ length: writers }, async () =>
        this.options.writer.submit(runningDaemons, this.revision, entity),
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
      await this.updateRevision(runningDaemons);
    }
  }

  // Reads the accepted revision after a failed submission, as an operator would do before a retry.
  private async updateRevision(daemons: readonly DaemonProcess[]): Promise<void> {
    for (const daemon of this.options.random.sample(daemons, 3)) {
      const response = await callAdministration(daemon, 'GET', '/v1/status').catch(() => undefined);
      const { acceptedRevision } = (response?.body ?? {}) as { acceptedRevision?: number };
      this.revision = Math.max(this.revision, acceptedRevision ?? 0);
    }
  }

  private async restartDaemonsUntil(until: number, parity: number): Promise<void> {
    const { fleet, log } = this.options;
    for (const [index, daemon] of fleet.daemons.entries()) {
      if (performance.now() > until) {
        return;
      }
      // Daemon 0 keeps running, because the measurement queries it.
      if (index % 2 === parity && index > 0) {
        this.restarting.add(daemon);
        log.recordExit(daemon);
        await (parity === 0 ? daemon.kill() : daemon.stop());
        await daemon.start();
        await daemon.waitUntilReady();
        this.restarting.delete(daemon);
      }
    }
  }
}
