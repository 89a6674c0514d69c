/**
 * Which endpoints changed since a revision, so that daemons can exchange changes instead of all endpoints.
 */

import type { Endpoint } from '@dogwoodstall/traffic';

/** More endpoints than change within minutes; a daemon that is further behind gets all endpoints. */
const MAXIMUM_ENTRIES = 4096;

/** Remembers the revision of the last change of each endpoint. */
export class EndpointHistory {
  /** Revisions by id, the latest last. */
  private readonly revisions = new Map<string, number>();

  private startRevision = Infinity;

  private lastDrainRevision = 0;

  /** Revision at which an endpoint last began to drain. */
  get drainRevision(): number {
    return this.lastDrainRevision;
  }

  /** Begins with all endpoints of a revision; what changed before it is not known. */
  begin(revision: number): void {
    this.startRevision = revision;
    this.revisions.clear();
    this.lastDrainRevision = 0;
  }

  /** Records the endpoints that were put or removed at a revision or before. */
  record(puts: readonly Endpoint[], removed: readonly string[], revision: number): void {
    for (const id of [...puts.map((endpoint) => endpoint.id), ...removed]) {
      this.revisions.delete(id);
      this.revisions.set(id, revision);
    }
    if (revision > this.startRevision && puts.some(({ draining }) => draining)) {
      this.lastDrainRevision = revision;
    }
    for (const [id, changedAt] of this.revisions) {
      if (this.revisions.size <= MAXIMUM_ENTRIES) {
        return;
      }
      this.revisions.delete(id);
      this.startRevision = changedAt;
    }
  }

  /** Returns the ids that changed after a revision; undefined if not all of them are known. */
  listSince(revision: number): Set<string> | undefined {
    if (revision < this.startRevision) {
      return undefined;
    }
    const ids = new Set<string>();
    for (const [id, changedAt] of this.revisions) {
      if (changedAt > revision) {
        ids.add(id);
      }
    }
    return ids;
  }
}
