/**
 * Acquires slots, or sends requests through another daemon while this one has lost its path to the endpoints of a
 * service. Failures that the lost path explains are not reported as failures of the endpoints.
 */
import * as gateway from '@dogwoodstall/gateway';
import type { EndpointPath } from './endpoint-path.js';
import type { EndpointPaths } from './endpoint-paths.js';
import type { Member } from './member.js';

/** Time for which a daemon that did not serve a relayed request is not chosen again. */
const AVOID_MILLISECONDS = 3000;
/** Daemons of the own zone that are avoided before any other zone is chosen. */
const OWN_ZONE_TRIES = 2;
/** Delay after which the caller of a request that can't be relayed may retry. */
const NO_PATH_RETRY_MILLISECONDS = 200;
/** Time without a response, as a multiple of the hedge delay, from which an attempt is evidence of a lost path. */
const LATE_OF_HEDGE_DELAY = 1.5;
/** Connections to daemons that have been idle for longer are not reused. */
const PEER_IDLE_MILLISECONDS = 5000;
const noPath: gateway.SlotDecision = {
  kind: 'refused',
  reason: 'no-endpoint',
  retryAfter: NO_PATH_RETRY_MILLISECONDS,
};
const RESPONDED: ReadonlySet<gateway.SlotReport['outcome']> = new Set([
  'success',
  'error',
  'shed',
  'misdirected',
]);

/** Outcomes of relayed requests after which the other daemon is chosen again. */
const SERVED: ReadonlySet<gateway.SlotReport['outcome']> = new Set(['success', 'error', 'unused']);

/** Another daemon that accepts relayed requests. */
interface Peer {
  readonly name: string;
  readonly address: string;
  /** Whether it is in the zone of this daemon. */
  readonly isNear: boolean;
  readonly isAvoided: boolean;
}

/** Options of `PathAwareSlots`. */
export interface PathAwareSlotsOptions {
  readonly slots: gateway.SlotSource;
  readonly paths: EndpointPaths;
  readonly self: Member;
  readonly listMembers: () => readonly Member[];
  readonly onRelay: (peer: string, outcome: gateway.SlotReport['outcome']) => void;
  /** Called when a report that waits for a check of the path fails. */
  readonly onReportError: (error: unknown) => void;
  readonly now: () => number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** A slot source that depends on the path of this daemon to the endpoints. */
export class PathAwareSlots implements gateway.SlotSource {
  /** By service and name of a daemon. */
  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly options: PathAwareSlotsOptions) {}

  async acquire(
    ask: gateway.SlotAcquireOptions,
    signal: AbortSignal,
  ): Promise<gateway.SlotDecision> {
    const { paths, slots } = this.options;
    const path = paths.get(ask.service);
    const relayed = path.isLost ? this.relay(ask) : undefined;
    if (relayed !== undefined) {
      return relayed;
    }
    const decision = await slots.acquire(ask, signal);
    return decision.kind === 'refused'
      ? decision
      : { kind: 'slot', slot: this.observe(decision.slot, path) };
  }

  private observe(slot: gateway.Slot, path: EndpointPath): gateway.Slot {
    const late =
      slot.hedgeAfter === undefined
        ? undefined
        : setTimeout(
            () => path.recordFailure(slot.endpoint),
            slot.hedgeAfter * LATE_OF_HEDGE_DELAY,
          );
    late?.unref();
    return {
      ...slot,
      report: (result) => {
        clearTimeout(late);
        if (RESPONDED.has(result.outcome) || !result.silent) {
          path.recordResponse();
          slot.report(result);
          return;
        }
        if (result.outcome === 'refused' || result.outcome === 'reset') {
          path.recordFailure(slot.endpoint);
        }
        path
          .check()
          .then((lost) => slot.report(lost ? gateway.unusedReport : result))
          .catch(this.options.onReportError);
      },
    };
  }

  /** Returns undefined if no other daemon accepts relayed requests. */
  private relay({
    service,
    excluded,
    relayed,
  }: gateway.SlotAcquireOptions): gateway.SlotDecision | undefined {
    if (relayed) {
      return noPath;
    }
    const peers = this.listPeers(service, excluded);
    if (peers.length === 0) {
      return undefined;
    }
    const peer = this.choosePeer(peers);
    if (peer === undefined) {
      return noPath;
    }
    const { now, onRelay } = this.options;
    return {
      kind: 'slot',
      slot: {
        endpoint: peer.name,
        address: peer.address,
        hedgeAfter: undefined,
        maximumIdleMilliseconds: PEER_IDLE_MILLISECONDS,
        viaPeer: true,
        report: ({ outcome }) => {
          if (!SERVED.has(outcome)) {
            this.avoidedUntil.set(`${service}/${peer.name}`, now() + AVOID_MILLISECONDS);
          }
          onRelay(peer.name, outcome);
        },
      },
    };
  }

  private listPeers(service: string, excluded: readonly string[]): Peer[] {
    const { listMembers, self, now } = this.options;
    const peers: Peer[] = [];
    for (const { name, zone, callerAddress } of listMembers()) {
      if (name !== self.name && callerAddress !== undefined) {
        peers.push({
          name,
          address: callerAddress,
          isNear: zone === self.zone,
          isAvoided:
            excluded.includes(name) ||
            now() < (this.avoidedUntil.get(`${service}/${name}`) ?? -Infinity),
        });
      }
    }
    return peers;
  }

  /** Returns undefined if no daemon has served the requests that were relayed to it recently. */
  private choosePeer(peers: readonly Peer[]): Peer | undefined {
    const near = peers.filter(({ isNear, isAvoided }) => isNear && !isAvoided);
    const far = peers.filter(({ isNear, isAvoided }) => !isNear && !isAvoided);
    const avoidedNear = peers.filter(({ isNear, isAvoided }) => isNear && isAvoided).length;
    const isNearPreferred = avoidedNear < OWN_ZONE_TRIES || far.length === 0;
    const choices = near.length > 0 && isNearPreferred ? near : far;
    return choices[Math.floor(this.options.random() * choices.length)];
  }
}
