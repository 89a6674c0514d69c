/**
 * Handlers of the membership procedures that other members call.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import { FailureError } from '@dogwoodstall/results';
import type { Gossip, MemberTable } from './member-table.js';
import type { Prober } from './prober.js';

function checkSender(from: peerLink.MemberUpdate, caller: peerLink.Caller): void {
  if (from.name !== caller.name) {
    const message = `the certificate names "${caller.name}", but the gossip is from "${from.name}"`;
    throw new FailureError('PeerUnauthenticated', message);
  }
}

/** Creates the handlers of the membership procedures. */
export function createHandlers(
  table: MemberTable,
  prober: Prober,
  applyGossip: (gossip: Gossip) => void,
): Pick<peerLink.PeerHandlers, 'probe' | 'indirectProbe'> {
  return {
    probe: async (input, caller) => {
      checkSender(input.from, caller);
      applyGossip(input);
      const gossip = table.takeGossip(input.from.name);
      return input.join ? { ...gossip, updates: table.listForJoin() } : gossip;
    },
    indirectProbe: async (input, caller) => {
      checkSender(input.from, caller);
      applyGossip(input);
      const target = { name: input.target, peerAddress: input.targetAddress };
      const reached = await prober.probeDirectly(target, false);
      return { reached, target: reached ? table.find(input.target) : undefined };
    },
  };
}
