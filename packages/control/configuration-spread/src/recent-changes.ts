/**
 * Buffers the most recently applied changes for peers that lack them.
 */
import type * as model from '@dogwoodstall/model';

const MAXIMUM_CHANGES = 256;
const MAXIMUM_TOTAL_BYTES = 4_194_304;
const MAXIMUM_PAGE_CHANGES = 50;
const MAXIMUM_PAGE_BYTES = 524_288;

interface RecentChange {
  readonly change: model.Change;
  readonly bytes: number;
}

/** Changes of consecutive revisions, the newest last. */
export class RecentChanges {
  private entries: RecentChange[] = [];

  private totalBytes = 0;

  /** Adds the change after the newest one; returns its size in bytes. */
  add(change: model.Change): number {
    const bytes = Buffer.byteLength(JSON.stringify(change));
    this.entries.push({ change, bytes });
    this.totalBytes += bytes;
    while (this.entries.length > MAXIMUM_CHANGES || this.totalBytes > MAXIMUM_TOTAL_BYTES) {
      this.totalBytes -= this.entries.shift()?.bytes ?? 0;
    }
    return bytes;
  }

  /** Removes all changes. */
  clear(): void {
    this.entries = [];
    this.totalBytes = 0;
  }

  /** Returns a page of the changes after a revision; undefined when the next one is no longer buffered. */
  getPageAfter(revision: number): model.Change[] | undefined {
    const first = this.entries[0]?.change.revision;
    if (first === undefined || first > revision + 1) {
      return undefined;
    }
    const page: model.Change[] = [];
    let bytes = 0;
    for (const entry of this.entries.slice(revision + 1 - first)) {
      bytes += entry.bytes;
      if (page.length === MAXIMUM_PAGE_CHANGES || (page.length > 0 && bytes > MAXIMUM_PAGE_BYTES)) {
        break;
      }
      page.push(entry.change);
    }
    return page;
  }
}
