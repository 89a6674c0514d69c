/**
 * A point in the history of the store. Revisions increase within an era. The store begins a new era when it lost its latest
 * changes: the revisions of those are then given out again, so that only revisions of one era can be compared.
 */

/** A point in the history of the store; era 0 if the store announces none. */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

/** Whether a position lies behind another one; everything in a later era does. */
export function isLater(position: StorePosition, other: StorePosition): boolean {
  return position.era === other.era ? position.revision > other.revision : position.era > other.era;
}

/** What another daemon says of its position. */
export interface ReportedPosition {
  readonly directoryRevision: number;
  /** Undefined from older daemons, which don't know eras. */
  readonly directoryEra?: number | null | undefined;
}

/** Returns the position that another daemon reports; one without an era is taken for one of the own era. */
export function readPosition(reported: ReportedPosition, own: StorePosition): StorePosition {
  return { era: reported.directoryEra ?? own.era, revision: reported.directoryRevision };
}
