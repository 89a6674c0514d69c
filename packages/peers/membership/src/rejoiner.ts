/**
 * Probes failed members and addresses that are not known as members, at limited rates, so that
 * restarted members and separated partitions rejoin.
 */
import type { MemberTable } from './member-table.js';
import type { MembershipLinks, Prober } from './prober.js';
import type { SeededRandom } from './random.js';
import type { MembershipTimings } from './timings.js';

/** A VM of the platform's list, with the fields that membership uses. */
export interface ListedVm {
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** Options of `Rejoiner`. */
export interface RejoinerOptions {
  readonly name: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  readonly listedVms: () => readonly ListedVm[];
  readonly links: MembershipLinks;
  readonly table: MemberTable;
  readonly prober: Prober;
  readonly timings: MembershipTimings;
  readonly random: SeededRandom;
  /** Called with the name of a failed member that responded. */
  readonly onReached: (name: string) => void;
}

/** Probes failed members and unknown addresses. */
export class Rejoiner {
  private readonly options: RejoinerOptions;

  private nextFailedRetryAt = 0;

  private nextListedRetryAt = 0;

  constructor(options: RejoinerOptions) {
    this.options = options;
  }

  /** Sends the probes that are due in this round: at most one of each kind. */
  async retryNext(): Promise<void> {
    await this.retryFailedMember();
    await this.probeUnknownAddress();
  }

  // One failed member is probed per interval, and the next one immediately after a success. Two
  // partitions of a fleet thus merge again, without many connection attempts during the partition.
  private async retryFailedMember(): Promise<void> {
    const { table, prober, links, random, timings } = this.options;
    if (performance.now() < this.nextFailedRetryAt) {
      return;
    }
    this.nextFailedRetryAt = performance.now() + timings.failedRetry;
    const failed = [...table.peers].filter((member) => member.state === 'failed');
    const [target] = random.sample(failed, 1);
    if (target === undefined) {
      return;
    }
    if (await prober.probeDirectly(target, false)) {
      this.nextFailedRetryAt = 0;
      this.options.onReached(target.name);
    } else {
      links.remove(target.name);
    }
  }

  private async probeUnknownAddress(): Promise<void> {
    const { table, timings, seeds, random, prober } = this.options;
    const peers = [...table.peers];
    const isAlone = peers.every((member) => member.state === 'failed');
    if (!isAlone && performance.now() < this.nextListedRetryAt) {
      return;
    }
    this.nextListedRetryAt = performance.now() + timings.listedRetry;
    const known = new Set(peers.map((peer) => peer.peerAddress));
    known.add(this.options.peerAddress);
    const listed = this.options
      .listedVms()
      .filter((vm) => vm.name !== this.options.name)
      .map((vm) => vm.peerAddress);
    const candidates = [...listed, ...(isAlone ? seeds : [])];
    const unknown = candidates.filter((address) => !known.has(address));
    const [peerAddress] = random.sample(unknown, 1);
    if (peerAddress !== undefined) {
      await prober.probeDirectly({ peerAddress }, true);
    }
  }
}
