/**
 * A fleet of keepers at their interfaces: one log in memory, and links that call handlers directly.
 */
import type * as membership from '@dogwoodstall/membership';
import type * as peerLink from '@dogwoodstall/peer-link';
import { FailureError } from '@dogwoodstall/results';
import * as spread from '../src/index.js';
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
  readonly keeper: spread.ConfigurationKeeper;
}

/** The state of the link from one daemon to another. */
export type LinkFault = (from: string, to: string) => 'open' | 'request-lost' | 'answer-lost';

/** Keepers in several zones, with links that can be cut. */
export class Fleet {
  readonly daemons = new Map<string, Daemon>();

  readonly revisions = new Map<string, number>();

  readonly calls: string[] = [];

  /** Called with the input of each call. */
  onCall: ((name: peerLink.ProcedureName, input: unknown) => void) | undefined;

  /** Returns whether a call may reach its target, and whether the answer comes back. */
  link: LinkFault | undefined;

  readonly log = new MemoryLog();

  add(
    name: string,
    zone: string,
    log: spread.Log = this.log,
    timings: Partial<spread.SpreadTimings> = {},
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
    const keeper = new spread.ConfigurationKeeper({
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
    const daemon = { member, keeper };
    this.daemons.set(name, daemon);
    return daemon;
  }

  start(): void {
    for (const { keeper } of this.daemons.values()) {
      keeper.start();
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.daemons.values()].map(({ keeper }) => keeper.stop()));
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
      const handlers = this.daemons.get(to)?.keeper.handlers as
        Record<string, (input: unknown, caller: peerLink.Caller) => Promise<unknown>> | undefined;
      const state = this.link?.(from, to) ?? 'open';
      if (handlers === undefined || state === 'request-lost') {
        throw new FailureError('PeerUnreachable');
      }
      const answer = await handlers[name]!(structuredClone(input), { name: from });
      if (state === 'answer-lost') {
        throw new FailureError('PeerTimeout');
      }
      return structuredClone(answer);
    };
    return { call: call as peerLink.PeerLink['call'] };
  }
}

/** Resolves when a daemon has a revision in force. */
export async function reach(daemon: Daemon, revision: number): Promise<void> {
  while ((daemon.keeper.current?.revision ?? -1) < revision) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

/** Resolves when all daemons have a revision in force. */
export async function reachAll(fleet: Fleet, revision: number): Promise<void> {
  for (const daemon of fleet.daemons.values()) {
    await reach(daemon, revision);
  }
}
