/**
 * Keys and key ranges of the configuration in the store.
 */
import { getPrefixRangeEnd, type KeyRange } from '@dogwoodstall/store-client';

const CHANGE_PREFIX = 'dogwoodstall/changes/';
const PART_PREFIX = 'dogwoodstall/snapshot-parts/';
const REVISION_DIGITS = 12;
const PART_DIGITS = 4;

/** Key of the list of parts of the current snapshot. */
export const SNAPSHOT_KEY = 'dogwoodstall/snapshot';

function padRevision(revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0');
}

/** Returns the key of the change that created a revision. */
export function formatChangeKey(revision: number): string {
  return CHANGE_PREFIX + padRevision(revision);
}

/** Returns the key range of all changes after a revision. */
export function buildChangeRange(after: number, limit?: number): KeyRange {
  return { key: formatChangeKey(after + 1), end: getPrefixRangeEnd(CHANGE_PREFIX), limit };
}

/** Returns the key of one part of a snapshot; `writer` separates concurrent writers. */
export function formatPartKey(revision: number, writer: string, index: number): string {
  return `${PART_PREFIX}${padRevision(revision)}-${writer}/${String(index).padStart(PART_DIGITS, '0')}`;
}

/** Returns the key range of the parts of all snapshots before a revision. */
export function buildOlderPartsRange(revision: number): { key: string; end: string } {
  return { key: PART_PREFIX, end: PART_PREFIX + padRevision(revision) };
}
