/**
 * Detects stalled links to peers while forwarded requests await a response.
 */
import type { Dispatcher } from 'undici';
import { Link, type LinkMonitorOptions, type PeerTarget } from './link.js';

/** The monitored links to all peers. */
export class LinkMonitor {
  private readonly links = new WeakMap<Dispatcher, Link>();

  constructor(private readonly options: LinkMonitorOptions = {}) {}

  /** Monitors a link until the returned function is called. */
  watch(peer: PeerTarget, onStalled: () => void): () => void {
    return this.getOrCreateLink(peer).watch(onStalled);
  }

  /** Returns the function to call whenever data arrives from a peer. */
  getActivityListener(peer: PeerTarget): () => void {
    return this.getOrCreateLink(peer).recordActivity;
  }

  private getOrCreateLink(peer: PeerTarget): Link {
    let link = this.links.get(peer.dispatcher);
    if (link === undefined) {
      link = new Link(peer, this.options);
      this.links.set(peer.dispatcher, link);
    }
    return link;
  }
}
