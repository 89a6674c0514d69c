/**
 * Probes of single members: direct, then through others.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import type { Gossip, MemberTable } from './member-table.js';
import type { MembershipTimings } from './timings.js';

/** The calls of membership; `PeerLinks` fits. */
export interface MembershipLinks {
  linkTo(target: peerLink.PeerTarget): Pick<peerLink.PeerLink, 'call'>;
  remove(name: string): void;
}

/** How a member answered. */
export type ProbeResult = 'direct' | 'indirect' | 'none';

/** Options of the prober. */
export interface ProberOptions {
  readonly links: MembershipLinks;
  readonly table: MemberTable;
  readonly timings: MembershipTimings;
  readonly signal: AbortSignal;
  /** Takes in the news of a message. */
  readonly applyGossip: (gossip: Gossip) => void;
  /** Returns members that can be asked to probe another one. */
  readonly chooseHelpers: (target: string) => peerLink.MemberUpdate[];
}

/** Sends probes and takes in their answers. */
export class Prober {
  private readonly options: ProberOptions;

  constructor(options: ProberOptions) {
    this.options = options;
  }

  /** Probes a member directly and, without an answer, through others. */
  async probe(target: peerLink.MemberUpdate): Promise<ProbeResult> {
    if (await this.probeDirectly(target, false)) {
      return 'direct';
    }
    const helpers = this.options.chooseHelpers(target.name);
    try {
      await Promise.any(helpers.map((helper) => this.probeThrough(helper, target)));
      return 'indirect';
    } catch {
      return 'none';
    }
  }

  /** Probes a member or an address once; returns whether it answered. */
  async probeDirectly(target: peerLink.PeerTarget, join: boolean): Promise<boolean> {
    const { links, table, timings, signal, applyGossip: takeIn } = this.options;
    try {
      const answer = await links
        .linkTo({ name: target.name, peerAddress: target.peerAddress })
        .call(
          'probe',
          { ...table.takeGossip(target.name), join },
          { milliseconds: join ? timings.probeTimeout * 10 : timings.probeTimeout, signal },
        );
      takeIn(answer);
      return true;
    } catch {
      return false;
    }
  }

  private async probeThrough(
    helper: peerLink.MemberUpdate,
    target: peerLink.MemberUpdate,
  ): Promise<void> {
    const { links, table, timings, signal } = this.options;
    const gossip = table.takeGossip(target.name);
    const answer = await links
      .linkTo({ name: helper.name, peerAddress: helper.peerAddress })
      .call(
        'indirectProbe',
        { ...gossip, target: target.name, targetAddress: target.peerAddress },
        { milliseconds: timings.indirectTimeout, signal },
      );
    if (!answer.reached) {
      throw new Error(`${helper.name} did not reach ${target.name}`);
    }
    if (answer.target !== undefined) {
      table.merge(answer.target);
    }
  }
}
