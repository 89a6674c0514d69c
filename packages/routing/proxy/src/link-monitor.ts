/**
 * Watches the links to all peers while forwarded requests are unanswered.
 */
import type { Dispatcher } from 'undici';
import { Link, type LinkMonitorOptions, type PeerTarget } from './link.js';

/** Watches the links to all peers. */
export class LinkMonitor {
  private readonly links = new WeakMap<Dispatcher, Link>();

  constructor(private readonly options: LinkMonitorOptions = {}) {}

  /** Watches a link until the returned function is called. */
  watch(peer: PeerTarget, onStalled: () => void): () => void {
    return this.getOrCreateLink(peer).watch(onStalled);
  }

  /** Returns the function to call when anything arrives from a peer. */
  heard(peer: PeerTarget): () => void {
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
