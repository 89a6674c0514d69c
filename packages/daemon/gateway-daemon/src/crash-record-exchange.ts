/**
 * Exchange of the records of requests that crash endpoints, so that any daemon can refuse such a request, whichever
 * daemons received it before and whichever dispatch its service.
 *
 * A daemon that sees a reset tells a few keepers, which are the same for a fingerprint on all daemons. Whoever learns by
 * its own evidence or as a keeper that a request is to be refused tells all daemons; those that missed it learn it with
 * the response to a ping.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import * as grants from '@dogwoodstall/grants';
import * as hashing from '@dogwoodstall/hashing';
import type { Member, MemberTable } from './member.js';
import type { SilentAttempt } from './silent-attempts.js';

/** Daemons that collect the evidence of a request. */
const KEEPERS = 4;
/** Records in one datagram, so that it stays below the size of a packet. */
const RECORDS_PER_DATAGRAM = 2;
/** Records sent with a pong, those changed last. */
const RECORDS_WITH_PONG = 16;
/** Time after which unchanged records are sent to a daemon that pings again. */
const REPEAT_MILLISECONDS = 3000;
/** Time after which restored records are sent again, since the others may have started a little later. */
const RESTORE_REPEAT_MILLISECONDS = 3000;
/** Requests that this daemon tells all others about, in a second; others wait for the next ping. */
const ANNOUNCED_PER_SECOND = 10;
const SECOND_MILLISECONDS = 1000;

/** A change of what a daemon knows of a request that crashes endpoints. */
export type CrashRecordEvent = 'counted' | 'held' | 'relayed' | 'cleared' | 'restored';

/** A reset that this daemon saw. */
export type SeenReset = Omit<grants.ResetAttempt, 'source' | 'isReachable'> & {
  readonly address: string;
};

/** Options of `CrashRecordExchange`. */
export interface CrashRecordExchangeOptions {
  readonly members: MemberTable;
  readonly send: (message: datagrams.Message, to: datagrams.PeerAddress) => void;
  /** Resolves with whether an address accepts a connection, or with undefined if that could not be tried. */
  readonly connect: (address: string) => Promise<boolean | undefined>;
  /** Called when a record could not be added after such a check, or when the check itself failed. */
  readonly onError: (error: unknown) => void;
  readonly onEvent: (event: CrashRecordEvent, record: grants.CrashRecord) => void;
  /**
   * Called with each change of a record that this daemon saw or collects. `position` counts the daemons that collect it
   * too and come first.
   */
  readonly onEvidence: (record: grants.CrashRecord, position: number) => void;
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
}

type RelayedRecord = datagrams.Crashes['records'][number];

function toAge(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}

function encodeRecord(record: grants.CrashRecord, now: number): RelayedRecord {
  const { fingerprint, clearedAt, lastAt, evidence } = record;
  return {
    fingerprint,
    age: toAge(lastAt, now),
    clearedAge: clearedAt === -Infinity ? null : toAge(clearedAt, now),
    evidence: evidence.map(({ endpoint, lifetime, weight, source, at }) => [
      endpoint,
      lifetime,
      weight,
      source,
      toAge(at, now),
    ]),
  };
}

function decodeRecord(record: RelayedRecord, now: number): grants.CrashRecord {
  const { fingerprint, age, clearedAge, evidence } = record;
  return {
    fingerprint,
    lastAt: now - age,
    clearedAt: clearedAge === null ? -Infinity : now - clearedAge,
    evidence: evidence.map(([endpoint, lifetime, weight, source, evidenceAge]) => ({
      endpoint,
      lifetime,
      weight,
      source,
      at: now - evidenceAge,
    })),
  };
}

/** Holds and exchanges the records of one daemon. */
export class CrashRecordExchange {
  readonly records: grants.CrashRecords;

  /** By host of the daemon: what was sent last with a pong, and when. */
  private readonly sentWithPong = new Map<string, { readonly list: string; readonly at: number }>();

  /** Times at which this daemon told all others about a request. */
  private announcedAt: number[] = [];

  constructor(private readonly options: CrashRecordExchangeOptions) {
    this.records = new grants.CrashRecords((record) => {
      options.onEvent('held', record);
      this.announce(record);
    });
  }

  /** Whether a request is to be refused. */
  shouldRefuse(fingerprint: string): boolean {
    return this.records.shouldRefuse(fingerprint, this.options.now());
  }

  /**
   * Records that an endpoint reset a connection on which this daemon had sent a request. If the request met with a reset
   * before, checks first whether the endpoint still accepts connections.
   */
  recordReset({ address, ...reset }: SeenReset, dispatcher: datagrams.PeerAddress): void {
    const { members, now, connect, onError, onEvent } = this.options;
    const record = (isReachable: boolean | undefined): void => {
      const attempt = { ...reset, source: members.self.host, isReachable };
      const updated = this.records.add(attempt, now());
      onEvent('counted', updated);
      this.sendToKeepers(updated, dispatcher);
    };
    const known = this.records.find(reset.fingerprint, now());
    if (known === undefined || known.evidence.length === 0) {
      record(undefined);
    } else {
      connect(address)
        .catch((error: unknown) => {
          onError(error);
          return undefined;
        })
        .then(record)
        .catch(onError);
    }
  }

  /** Records that an endpoint ended while, or after, this daemon waited in vain for its response. */
  recordSilentEnd({ fingerprint, endpoint, lifetime, dispatcher }: SilentAttempt): void {
    const { members, now, onEvent } = this.options;
    const attempt = { fingerprint, endpoint, lifetime, source: members.self.host };
    const updated = this.records.addSilentEnd(attempt, now());
    onEvent('counted', updated);
    this.sendToKeepers(updated, dispatcher);
  }

  /** Records that an endpoint processed a request of this daemon. */
  recordSuccess(fingerprint: string, dispatcher: datagrams.PeerAddress): void {
    const record = this.records.clear(fingerprint, this.options.now());
    if (record !== undefined) {
      this.options.onEvent('cleared', record);
      this.sendToKeepers(record, dispatcher);
    }
  }

  /** Merges records from before a restart of all daemons, and tells those that collect them. */
  restore(records: readonly grants.CrashRecord[]): void {
    for (const record of records) {
      this.records.merge(record, this.options.now());
      this.options.onEvent('restored', record);
    }
    const send = (): void => {
      for (const { fingerprint } of records) {
        const record = this.records.find(fingerprint, this.options.now());
        if (record !== undefined) {
          this.sendToKeepers(record, this.options.members.self);
        }
      }
    };
    send();
    setTimeout(send, RESTORE_REPEAT_MILLISECONDS).unref();
  }

  /** Merges what another daemon knows; ignores senders that are not members. */
  receive({ final, records }: datagrams.Crashes, { host }: datagrams.PeerAddress): void {
    if (this.options.members.findByHost(host) === undefined) {
      return;
    }
    const now = this.options.now();
    for (const relayed of records) {
      const record = decodeRecord(relayed, now);
      if (this.records.merge(record, now)) {
        this.options.onEvent('relayed', record);
        if (!final) {
          this.announce(this.records.find(record.fingerprint, now) ?? record);
        }
      }
      const merged = final ? undefined : this.records.find(record.fingerprint, now);
      const position = this.rankKeepers(record.fingerprint).indexOf(this.options.members.self);
      if (merged !== undefined && position >= 0) {
        this.options.onEvidence(merged, position);
      }
    }
  }

  /** Sends the requests that are refused to a daemon that pinged, unless it has been told so recently. */
  sendWithPong(to: datagrams.PeerAddress, isNew: boolean): void {
    const now = this.options.now();
    const crashing = this.records.listCrashing(now).slice(0, RECORDS_WITH_PONG);
    if (crashing.length === 0) {
      this.sentWithPong.clear();
      return;
    }
    const list = crashing.map(({ fingerprint }) => fingerprint).join(' ');
    const sent = this.sentWithPong.get(to.host);
    if (isNew || sent?.list !== list || now - sent.at > REPEAT_MILLISECONDS) {
      this.sentWithPong.set(to.host, { list, at: now });
      this.send(crashing, true, to);
    }
  }

  private announce(record: grants.CrashRecord): void {
    const now = this.options.now();
    this.announcedAt = this.announcedAt.filter((at) => now - at < SECOND_MILLISECONDS);
    if (this.announcedAt.length >= ANNOUNCED_PER_SECOND) {
      return;
    }
    this.announcedAt.push(now);
    for (const member of this.options.members.list()) {
      this.sendToMember(record, true, member);
    }
  }

  /** Returns the daemons that collect the evidence of a request, in a fixed order. */
  private rankKeepers(fingerprint: string): Member[] {
    const members = this.options.members.list();
    return hashing.rankMembers(fingerprint, members, ({ name }) => name).slice(0, KEEPERS);
  }

  /** Tells the keepers of a record and the daemon that dispatches the service. */
  private sendToKeepers(
    record: grants.CrashRecord,
    dispatcher: Pick<datagrams.PeerAddress, 'host'>,
  ): void {
    const { members } = this.options;
    const keepers = this.rankKeepers(record.fingerprint);
    const position = keepers.indexOf(members.self);
    this.options.onEvidence(record, position >= 0 ? position : keepers.length);
    const recipients = new Set(keepers);
    const dispatching = members.findByHost(dispatcher.host);
    if (dispatching !== undefined) {
      recipients.add(dispatching);
    }
    for (const member of recipients) {
      this.sendToMember(record, false, member);
    }
  }

  private sendToMember(
    record: grants.CrashRecord,
    final: boolean,
    { name, host, datagramPort }: Member,
  ): void {
    if (name !== this.options.members.self.name) {
      this.send([record], final, { host, port: datagramPort });
    }
  }

  private send(
    records: readonly grants.CrashRecord[],
    final: boolean,
    to: datagrams.PeerAddress,
  ): void {
    const now = this.options.now();
    for (let index = 0; index < records.length; index += RECORDS_PER_DATAGRAM) {
      const part = records.slice(index, index + RECORDS_PER_DATAGRAM);
      const content = { final, records: part.map((record) => encodeRecord(record, now)) };
      this.options.send(['crashes', content], to);
    }
  }
}
