/**
 * The order in which daemons that start together get configuration and endpoints: the first of the ranking read them
 * from the store, and each other one requests them from a daemon before it, as in a tree. A full read takes many calls,
 * which the store limits, and a daemon with a small share of a core can't serve a whole fleet in time.
 */
import type { Member } from './member.js';

/** Number of daemons that read the complete state from the store. */
const INITIAL_READERS = 3;
/** Number of daemons that request the state from the same one. */
const REQUESTERS = 6;
/** Time for which a daemon waits for the state: some round trips and the first read of the store. */
const FIRST_LEVEL_MILLISECONDS = 900;
/** Additional time for each further level. */
const LEVEL_MILLISECONDS = 400;

/** The place of a daemon in the order. */
export interface StartPlace {
  /** Number of daemons through which the state arrives; 0 for one that reads the store. */
  readonly level: number;
  /** The daemons to request the state from, in this order. */
  readonly providers: readonly Member[];
}

/** Returns the place of a daemon, given the ranking for the role of watching the store. */
export function findStartPlace(ranking: readonly Member[], self: Member): StartPlace {
  let position = ranking.indexOf(self);
  const providers: Member[] = [];
  while (position >= INITIAL_READERS) {
    position = Math.floor((position - INITIAL_READERS) / REQUESTERS);
    providers.push(ranking[position] as Member);
  }
  const level = providers.length;
  if (level > 0) {
    const readers = ranking.slice(0, INITIAL_READERS);
    providers.push(...readers.filter((reader) => !providers.includes(reader)));
  }
  return { level, providers };
}

/** Returns the time for which a joined daemon waits for its providers before it reads the store itself. */
export function computeStartTimeout(level: number): number {
  return FIRST_LEVEL_MILLISECONDS + Math.max(0, level - 1) * LEVEL_MILLISECONDS;
}
