/**
 * A simulated network of members that call each other's handlers directly. Links can be cut in one
 * direction.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import { FailureError } from '@dogwoodstall/results';
import * as membership from '../src/index.js';

export const fastTimings: membership.MembershipTimings = {
  probeInterval: 10,
  probeTimeout: 100,
  indirectTimeout: 200,
  suspicion: 60,
  failedRetry: 20,
  listedRetry: 20,
};

/** A network of members; a name starts with the letter of its zone. */
export class Network {
  readonly nodes = new Map<string, membership.Membership>();

  readonly calls: { readonly name: string; readonly input: unknown }[] = [];

  /** Returns whether messages from one member reach another; undefined when all do. */
  isOpen: ((from: string, to: string) => boolean) | undefined;

  private port = 1;

  add(name: string, options: Partial<membership.MembershipOptions> = {}): membership.Membership {
    const peerAddress = options.peerAddress ?? `127.0.0.1:${this.port}`;
    this.port += 1;
    const node = new membership.Membership({
      name,
      zone: `zone-${name[0]}`,
      region: 'r',
      peerAddress,
      seed: this.port,
      links: {
        linkTo: (target) => this.linkTo(name, target.peerAddress),
        remove: () => {},
      },
      timings: fastTimings,
      ...options,
    });
    this.nodes.set(peerAddress, node);
    return node;
  }

  /** Stops a member without notice. */
  async crash(node: membership.Membership): Promise<void> {
    this.nodes.delete(node.self.peerAddress);
    await node.stop();
  }

  async stop(): Promise<void> {
    await Promise.all([...this.nodes.values()].map((node) => node.stop()));
  }

  private linkTo(from: string, address: string): Pick<peerLink.PeerLink, 'call'> {
    const call = async (name: 'probe' | 'indirectProbe', input: never): Promise<unknown> => {
      this.calls.push({ name, input });
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const node = this.nodes.get(address);
      if (node === undefined || this.isOpen?.(from, node.self.name) === false) {
        throw new FailureError('PeerUnreachable');
      }
      const response = await node.handlers[name](structuredClone(input), { name: from });
      if (this.isOpen?.(node.self.name, from) === false) {
        throw new FailureError('PeerTimeout');
      }
      return structuredClone(response);
    };
    return { call: call as unknown as peerLink.PeerLink['call'] };
  }
}

/** Resolves when a condition holds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 2);
    });
  }
}

/** Returns whether a node knows exactly these members. */
export function hasMembers(node: membership.Membership, names: readonly string[]): boolean {
  const known = node.members().map((member) => member.name);
  return known.length === names.length && names.every((name) => known.includes(name));
}
