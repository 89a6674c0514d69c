/**
 * Pings and pongs: what this daemon tells about itself and learns from others. News does not wait for the next ping; it
 * is told to the daemons that pinged lately.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import type { Candidates } from './candidates.js';
import type { Directory } from './directory.js';
import type { DispatchDuty } from './dispatch-duty.js';
import type { DispatcherRole } from './dispatcher-role.js';
import type { MemberTable } from './member.js';
import type { PeerState } from './peer-state.js';

/** A daemon that pinged within this time follows this one. */
const PINGER_MILLISECONDS = 3000;
/** Sequence of a pong that answers no ping. */
const UNASKED_SEQUENCE = 0;

/** A daemon that pinged this one. */
interface Pinger {
  readonly from: datagrams.PeerAddress;
  readonly standby: boolean;
  /** Whether the daemon knows no endpoints yet. */
  readonly isNew: boolean;
  readonly at: number;
}

/** Options of `PingExchange`. */
export interface PingExchangeOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  readonly role: DispatcherRole;
  readonly duty: DispatchDuty;
  readonly peerState: PeerState;
  readonly candidates: () => Candidates;
  readonly send: (message: datagrams.Message, to: datagrams.PeerAddress) => void;
}

/** Answers pings and takes pongs. */
export class PingExchange {
  /** Daemons that pinged this one lately, by host. */
  private readonly pingers = new Map<string, Pinger>();

  constructor(private readonly options: PingExchangeOptions) {}

  /** Answers a ping. */
  receivePing(ping: datagrams.Ping, from: datagrams.PeerAddress): void {
    this.pingers.set(from.host, {
      from,
      standby: ping.standby,
      isNew: ping.directoryRevision === 0,
      at: performance.now(),
    });
    this.sendPong(from, ping.sequence, ping.standby);
    this.options.peerState.considerFetch(ping, from.host, false);
  }

  /** Takes what another daemon tells; pongs of unknown daemons are ignored. */
  receivePong(pong: datagrams.Pong, from: datagrams.PeerAddress): void {
    const { members, candidates, duty, role, peerState } = this.options;
    const member = members.list().find(({ host }) => host === from.host);
    if (member === undefined) {
      return;
    }
    candidates().receivePong(member.name, pong);
    duty.noteStoreNews(member.name, pong.storeAge);
    role.adoptBeliefs(pong.cells);
    peerState.considerFetch(pong, from.host, pong.memberDigest !== members.digest);
  }

  /** Tells every daemon that pinged lately. */
  announceToAll(): void {
    this.announce(() => true);
  }

  /** Tells the daemons that need to know the endpoints. */
  announceEndpoints(): void {
    this.announce(({ standby, isNew }) => standby || isNew);
  }

  private announce(concerns: (pinger: Pinger) => boolean): void {
    const limit = performance.now() - PINGER_MILLISECONDS;
    for (const [host, pinger] of this.pingers) {
      if (pinger.at < limit) {
        this.pingers.delete(host);
      } else if (concerns(pinger)) {
        this.sendPong(pinger.from, UNASKED_SEQUENCE, pinger.standby);
      }
    }
  }

  private sendPong(to: datagrams.PeerAddress, sequence: number, standby: boolean): void {
    const { members, directory, role, duty, send } = this.options;
    send(
      [
        'pong',
        {
          sequence,
          stopping: role.stopping,
          settled: duty.isSettled(),
          configurationVersion: directory.configurationVersion,
          directoryRevision: directory.endpointRevision,
          storeAge: Math.round(duty.storeAge),
          memberDigest: members.digest,
          cells: standby ? role.listBeliefs() : [],
        },
      ],
      to,
    );
  }
}
