/**
 * Start-up of a daemon: the configuration comes from the store, or from the peers of its zone once a
 * majority of the listed members of the zone answered.
 */
import type * as membership from '@dogwoodstall/membership';
import { FailureError } from '@dogwoodstall/results';
import type { Links, SpreadTimings } from './ports.js';
import { pullAll } from './peer-source.js';
import type { ConfigurationState } from './state.js';

/** A daemon that is expected to run in the zone. */
export interface ListedPeer {
  readonly name: string;
  readonly peerAddress: string;
}

/** Returns the other daemons of a zone that members or the platform's list name. */
export function listZone(
  self: membership.Member,
  members: readonly membership.Member[],
  machines: readonly membership.ListedVm[],
): ListedPeer[] {
  const peers = new Map<string, ListedPeer>();
  for (const entry of [...machines, ...members]) {
    if (entry.zone === self.zone && entry.name !== self.name && entry.state !== 'leaving') {
      peers.set(entry.name, { name: entry.name, peerAddress: entry.peerAddress });
    }
  }
  return [...peers.values()];
}

/** Options of a start from peers. */
export interface PeerStartOptions {
  readonly name: string;
  readonly peers: readonly ListedPeer[];
  readonly links: Links;
  readonly state: ConfigurationState;
  readonly timings: SpreadTimings;
}

/**
 * Reads the highest revision that the peers of the zone have.
 *
 * Throws `PeerLacksConfiguration` when no majority answered or none has a configuration.
 */
export async function startFromPeers(options: PeerStartOptions): Promise<void> {
  const { peers, links, state, timings } = options;
  const settled = await Promise.allSettled(
    peers.map(async (peer) => {
      const input = { from: options.name, revision: state.revision };
      const call = { milliseconds: timings.call };
      return { peer, summary: await links.linkTo(peer).call('summary', input, call) };
    }),
  );
  const answers = settled.flatMap((result) => (result.status === 'fulfilled' ? result.value : []));
  const holders = answers
    .filter((answer) => answer.summary.hasConfiguration)
    .sort((left, right) => right.summary.revision - left.summary.revision);
  const [best] = holders;
  if (answers.length * 2 <= peers.length || best === undefined) {
    const message = `${answers.length} of ${peers.length} daemons of the zone answered, ${holders.length} have a configuration`;
    throw new FailureError('PeerLacksConfiguration', message);
  }
  const link = links.linkTo(best.peer);
  await pullAll(state, (input) => link.call('pullChanges', input, { milliseconds: timings.call }));
  if (state.current === undefined || state.revision < best.summary.revision) {
    throw new FailureError('PeerLacksConfiguration', `${best.peer.name} lost its configuration`);
  }
}
