/**
 * Probes of a single member: directly, then indirectly through other members.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import type { Gossip, MemberTable } from './member-table.js';
import type { MembershipTimings } from './timings.js';

/** The links that membership calls through; `PeerLinks` implements them. */
export interface MembershipLinks {
  linkTo(target: peerLink.PeerTarget): Pick<peerLink.PeerLink, 'call'>;
  remove(name: string): void;
}

/** How a probed member responded. */
export type ProbeResult = 'direct' | 'indirect' | 'none';

/** Options of `Prober`. */
export interface ProberOptions {
  readonly links: MembershipLinks;
  readonly table: MemberTable;
  readonly timings: MembershipTimings;
  readonly signal: AbortSignal;
  /** Merges the gossip of a message. */
  readonly applyGossip: (gossip: Gossip) => void;
  /** Returns members that can probe another one on behalf of this daemon. */
  readonly chooseHelpers: (target: string) => peerLink.MemberUpdate[];
}

/** Sends probes and merges the gossip of the responses. */
export class Prober {
  private readonly options: ProberOptions;

  constructor(options: ProberOptions) {
    this.options = options;
  }

  /** Probes a member directly and, without a response, through other members. */
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

  /** Probes a member or an address once; returns whether it responded. */
  async probeDirectly(target: peerLink.PeerTarget, join: boolean): Promise<boolean> {
    const { links, table, timings, signal, applyGossip } = this.options;
    try {
      const response = await links
        .linkTo({ name: target.name, peerAddress: target.peerAddress })
        .call(
          'probe',
          { ...table.takeGossip(target.name), join },
          { milliseconds: join ? timings.probeTimeout * 10 : timings.probeTimeout, signal },
        );
      applyGossip(response);
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
    const response = await links
      .linkTo({ name: helper.name, peerAddress: helper.peerAddress })
      .call(
        'indirectProbe',
        { ...gossip, target: target.name, targetAddress: target.peerAddress },
        { milliseconds: timings.indirectTimeout, signal },
      );
    if (!response.reached) {
      throw new Error(`${helper.name} could not reach ${target.name}`);
    }
    if (response.target !== undefined) {
      table.merge(response.target);
    }
  }
}
