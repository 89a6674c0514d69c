/**
 * A fleet of synchronisers in one process: one in-memory log, and links that call handlers directly.
 */
import type * as membership from '@dogwoodstall/membership';
import type * as peerLink from '@dogwoodstall/peer-link';
import { FailureError } from '@dogwoodstall/results';
import * as configurationSpread from '../src/index.js';
import { MemoryLog } from './memory-log.js';

export const fastTimings = {
  exchange: 40,
  role: 40,
  push: 40,
  retryMinimum: 20,
  retryMaximum: 100,
  startUp: 20,
  watch: 60_000,
  call: 500,
};

/** One daemon of the fleet. */
export interface Daemon {
  readonly member: membership.Member;
  readonly synchroniser: configurationSpread.ConfigurationSynchroniser;
}

/** The state of the link from one daemon to another. */
export type LinkFault = (
  from: string,
  to: string,
) => 'open' | 'request-lost' | 'answer-lost' | 'stalled';

/** Synchronisers in several zones, with injected link faults. */
export class Fleet {
  readonly daemons = new Map<string, Daemon>();

  readonly revisions = new Map<string, number>();

  readonly calls: string[] = [];

  /** Called with the input of each call. */
  onCall: ((name: peerLink.ProcedureName, input: unknown) => void) | undefined;

  /** Returns whether a call reaches its target, and whether the response arrives. */
  link: LinkFault | undefined;

  /** Calls over stalled links fail when it resolves. */
  stall: Promise<void> = Promise.resolve();

  readonly log = new MemoryLog();

  add(
    name: string,
    zone: string,
    log: configurationSpread.ChangeLog = this.log,
    timings: Partial<configurationSpread.SynchroniserTimings> = {},
  ): Daemon {
    const member: membership.Member = {
      name,
      zone,
      region: 'r',
      peerAddress: '127.0.0.1:1',
      incarnation: this.daemons.size + 1,
      counter: 0,
      state: 'alive',
      condition: 'ready',
      revision: 0,
      keyHomes: [],
    };
    const synchroniser = new configurationSpread.ConfigurationSynchroniser({
      log,
      members: {
        self: member,
        members: () => this.members(),
        find: (other) => this.members().find((entry) => entry.name === other),
        isReachable: () => true,
        announceRevision: (revision) => this.revisions.set(name, revision),
      },
      links: { linkTo: (target) => this.linkTo(name, target.name ?? '') },
      timings: { ...fastTimings, ...timings },
      seed: this.daemons.size + 1,
    });
    const daemon = { member, synchroniser };
    this.daemons.set(name, daemon);
    return daemon;
  }

  start(): void {
    for (const { synchroniser } of this.daemons.values()) {
      synchroniser.start();
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.daemons.values()].map(({ synchroniser }) => synchroniser.stop()));
  }

  members(): membership.Member[] {
    return [...this.daemons.values()].map(({ member }) => ({
      ...member,
      revision: this.revisions.get(member.name) ?? 0,
    }));
  }

  private linkTo(from: string, to: string): Pick<peerLink.PeerLink, 'call'> {
    const call = async (name: peerLink.ProcedureName, input: unknown): Promise<unknown> => {
      this.calls.push(`${from} ${name} ${to}`);
      this.onCall?.(name, input);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const handlers = this.daemons.get(to)?.synchroniser.handlers as
        Record<string, (input: unknown, caller: peerLink.Caller) => Promise<unknown>> | undefined;
      const state = this.link?.(from, to) ?? 'open';
      if (state === 'stalled') {
        await this.stall;
      }
      if (handlers === undefined || state === 'request-lost' || state === 'stalled') {
        throw new FailureError('PeerUnreachable');
      }
      const response = await handlers[name]!(structuredClone(input), { name: from });
      if (state === 'answer-lost') {
        throw new FailureError('PeerTimeout');
      }
      return structuredClone(response);
    };
    return { call: call as peerLink.PeerLink['call'] };
  }
}

/** Resolves when a daemon has applied a revision. */
export async function waitForRevision(daemon: Daemon, revision: number): Promise<void> {
  while ((daemon.synchroniser.current?.revision ?? -1) < revision) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

/** Resolves when all daemons have applied a revision. */
export async function waitForRevisionEverywhere(fleet: Fleet, revision: number): Promise<void> {
  for (const daemon of fleet.daemons.values()) {
    await waitForRevision(daemon, revision);
  }
}
