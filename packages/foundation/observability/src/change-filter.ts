/**
 * Limits the log lines about values that can't be read to one for each source and change.
 */

/** The source that was added first is forgotten first. */
const MAXIMUM_ENTRIES = 4096;

/** Remembers the last value of each source. */
export class ChangeFilter {
  private readonly lastBySource = new Map<string, string>();

  /** Returns whether the last value of the source was another one. */
  record(source: string, value: string): boolean {
    if (this.lastBySource.get(source) === value) {
      return false;
    }
    this.lastBySource.set(source, value);
    if (this.lastBySource.size > MAXIMUM_ENTRIES) {
      this.lastBySource.delete(this.lastBySource.keys().next().value as string);
    }
    return true;
  }
}
