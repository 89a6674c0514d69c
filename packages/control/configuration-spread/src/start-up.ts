/**
 * Reads the configuration of a starting daemon from the peers of its zone, for times when the store is
 * unavailable. A majority of the listed daemons of the zone must respond.
 */
import type * as membership from '@dogwoodstall/membership';
import { FailureError } from '@dogwoodstall/results';
import type { Links, SynchroniserTimings } from './dependencies.js';
import { pullAll } from './peer-pull.js';
import type { ConfigurationState } from './state.js';

/** A daemon that is expected to run in the zone. */
export interface ZonePeer {
  readonly name: string;
  readonly peerAddress: string;
}

/** Returns the other daemons of a zone from the members and the platform's VM list. */
export function listZonePeers(
  self: membership.Member,
  members: readonly membership.Member[],
  machines: readonly membership.ListedVm[],
): ZonePeer[] {
  const peers = new Map<string, ZonePeer>();
  for (const entry of [...machines, ...members]) {
    if (entry.zone === self.zone && entry.name !== self.name && entry.state !== 'leaving') {
      peers.set(entry.name, { name: entry.name, peerAddress: entry.peerAddress });
    }
  }
  return [...peers.values()];
}

/** Options of `startFromPeers`. */
export interface PeerStartOptions {
  readonly name: string;
  readonly peers: readonly ZonePeer[];
  readonly links: Links;
  readonly state: ConfigurationState;
  readonly timings: SynchroniserTimings;
}

/**
 * Reads the highest revision among the peers of the zone.
 *
 * Throws `PeerLacksConfiguration` when no majority responded or no peer has a configuration.
 */
export async function startFromPeers(options: PeerStartOptions): Promise<void> {
  const { peers, links, state, timings } = options;
  const calls = await Promise.allSettled(
    peers.map(async (peer) => {
      const input = { from: options.name, revision: state.revision };
      const call = { milliseconds: timings.call };
      return { peer, summary: await links.linkTo(peer).call('summary', input, call) };
    }),
  );
  const responses = calls.flatMap((result) => (result.status === 'fulfilled' ? result.value : []));
  const candidates = responses
    .filter((response) => response.summary.hasConfiguration)
    .sort((left, right) => right.summary.revision - left.summary.revision);
  const [best] = candidates;
  if (responses.length * 2 <= peers.length || best === undefined) {
    const message = `${responses.length} of ${peers.length} daemons of the zone responded, ${candidates.length} have a configuration`;
    throw new FailureError('PeerLacksConfiguration', message);
  }
  const link = links.linkTo(best.peer);
  await pullAll(state, (input) => link.call('pullChanges', input, { milliseconds: timings.call }));
  if (state.current === undefined || state.revision < best.summary.revision) {
    throw new FailureError(
      'PeerLacksConfiguration',
      `${best.peer.name} no longer has the revision that it reported`,
    );
  }
}
