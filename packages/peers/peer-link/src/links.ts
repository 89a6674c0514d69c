/**
 * All links of one daemon: one link per peer, shared by all components of the process.
 */
import type { PeerTls } from './identity.js';
import type { ProcedureName } from './messages.js';
import { PeerLink, type PeerTarget } from './link.js';

/** The links of one daemon. */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>();

  private readonly calls = new Map<ProcedureName, number>();

  private credentials: PeerTls;

  constructor(credentials: PeerTls) {
    this.credentials = credentials;
  }

  /** Number of calls sent since the start, by procedure. */
  get callCounts(): ReadonlyMap<ProcedureName, number> {
    return this.calls;
  }

  /** Returns the link to a peer; creates a new one when the address of the peer has changed. */
  linkTo(target: PeerTarget): PeerLink {
    const key = target.name ?? `address ${target.peerAddress}`;
    const known = this.links.get(key);
    if (known?.target.peerAddress === target.peerAddress) {
      return known;
    }
    known?.close().catch(() => {});
    const link = new PeerLink(target, this.credentials, (name) => this.countCall(name));
    this.links.set(key, link);
    return link;
  }

  /** Records that a request from a peer was received. */
  recordActivity(name: string): void {
    const link = this.links.get(name);
    if (link !== undefined) {
      link.lastActivityAt = performance.now();
    }
  }

  /** Removes the link to a peer and closes it after running requests have ended. */
  remove(name: string): void {
    const link = this.links.get(name);
    this.links.delete(name);
    link?.close().catch(() => {});
  }

  /** Replaces the credentials for new connections. */
  reload(credentials: PeerTls): void {
    this.credentials = credentials;
    for (const link of this.links.values()) {
      link.reload(credentials);
    }
  }

  /** Closes every link immediately. */
  async destroy(): Promise<void> {
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map((link) => link.destroy()));
  }

  private countCall(name: ProcedureName): void {
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
  }
}
