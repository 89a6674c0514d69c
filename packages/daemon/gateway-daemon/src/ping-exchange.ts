/**
 * Exchange of pings and pongs with other daemons. Changes are announced at once, by an unsolicited pong to each daemon
 * that pinged recently, instead of with the response to its next ping.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import type { Candidates } from './candidates.js';
import type { CrashRecordExchange } from './crash-record-exchange.js';
import type { Directory } from './directory.js';
import type { DispatcherRole } from './dispatcher-role.js';
import type { MemberTable } from './member.js';
import type { PeerState } from './peer-state.js';
import type { RoleAssignment } from './role-assignment.js';
import { isLater, readPosition } from './store-position.js';

/** Time since its last ping for which a daemon receives announcements. */
const SUBSCRIPTION_MILLISECONDS = 3000;
/** Sequence number of an unsolicited pong. */
const UNSOLICITED_SEQUENCE = 0;

/** A daemon that pinged this one and receives its announcements. */
interface Subscriber {
  readonly from: datagrams.PeerAddress;
  readonly standby: boolean;
  /** Whether the daemon has no endpoints yet. */
  readonly isNew: boolean;
  readonly lastPingAt: number;
}

/** Options of `PingExchange`. */
export interface PingExchangeOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  readonly dispatcherRole: DispatcherRole;
  readonly roleAssignment: RoleAssignment;
  readonly peerState: PeerState;
  readonly candidates: () => Candidates;
  readonly crashRecords: CrashRecordExchange;
  readonly send: (message: datagrams.Message, to: datagrams.PeerAddress) => void;
}

/** Sends and handles the pongs of one daemon and responds to pings. */
export class PingExchange {
  /** Daemons that pinged this one recently, by host. */
  private readonly subscribers = new Map<string, Subscriber>();

  constructor(private readonly options: PingExchangeOptions) {}

  /** Responds to a ping and fetches the sender's state if it is newer. */
  receivePing(ping: datagrams.Ping, from: datagrams.PeerAddress): void {
    const isNew = ping.directoryRevision === 0;
    const lastPingAt = performance.now();
    this.subscribers.set(from.host, { from, standby: ping.standby, isNew, lastPingAt });
    this.sendPong(from, ping.sequence, ping.standby);
    this.options.crashRecords.sendWithPong(from, isNew);
    this.options.peerState.fetchIfNewer(ping, from.host);
  }

  /** Processes the state that another daemon reports; pongs of unknown daemons are ignored. */
  receivePong(pong: datagrams.Pong, from: datagrams.PeerAddress): void {
    const { members, candidates, roleAssignment, dispatcherRole, peerState, directory } =
      this.options;
    const member = members.findByHost(from.host);
    if (member === undefined) {
      return;
    }
    candidates().receivePong(member.name, pong);
    roleAssignment.recordStoreContact(member.name, pong.storeAge);
    dispatcherRole.importCellReports(pong.cells, member.name);
    peerState.fetchIfNewer(pong, from.host);
    const mayConfirm = pong.settled && !pong.stopping && candidates().isCurrent(pong);
    const { position } = directory;
    if (mayConfirm && !isLater(readPosition(pong, position), position)) {
      roleAssignment.confirmEndpoints();
    }
  }

  /** Sends a pong to every daemon that pinged recently. */
  announceToAll(): void {
    this.announce(() => true);
  }

  /**
   * Sends a pong to the standbys and to the daemons that have no endpoints yet, and to all when an endpoint begins to drain:
   * the next ping of another daemon may be too late for it.
   */
  announceEndpoints(): void {
    const { position, history } = this.options.directory;
    const isDrain = history.drainRevision === position.revision;
    this.announce(({ standby, isNew }) => standby || isNew || isDrain);
  }

  private announce(isRecipient: (subscriber: Subscriber) => boolean): void {
    const earliest = performance.now() - SUBSCRIPTION_MILLISECONDS;
    for (const [host, subscriber] of this.subscribers) {
      if (subscriber.lastPingAt < earliest) {
        this.subscribers.delete(host);
      } else if (isRecipient(subscriber)) {
        this.sendPong(subscriber.from, UNSOLICITED_SEQUENCE, subscriber.standby);
      }
    }
  }

  private sendPong(to: datagrams.PeerAddress, sequence: number, standby: boolean): void {
    const { members, directory, dispatcherRole, roleAssignment, send } = this.options;
    send(
      [
        'pong',
        {
          sequence,
          stopping: dispatcherRole.stopping,
          settled: roleAssignment.isSettled(),
          configurationVersion: directory.configurationVersion,
          directoryRevision: directory.position.revision,
          directoryEra: directory.position.era,
          storeAge: Math.round(roleAssignment.storeAge),
          memberDigest: members.digest,
          cells: standby ? dispatcherRole.listCellReports() : [],
          drains: directory.history.drainRevision > 0 ? [directory.history.drainRevision] : [],
        },
      ],
      to,
    );
  }
}
