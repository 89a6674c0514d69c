/**
 * Names whose news is attached to outgoing messages, a bounded number of times each. The news sent
 * least often goes first.
 */

/** A queue of names with news to tell. */
export class GossipQueue {
  private readonly sent = new Map<string, number>();

  /** Number of names with news left to tell. */
  get size(): number {
    return this.sent.size;
  }

  /** Adds a name, or starts again when there is newer news about it. */
  add(name: string): void {
    this.sent.delete(name);
    this.sent.set(name, 0);
  }

  /** Removes a name. */
  remove(name: string): void {
    this.sent.delete(name);
  }

  /** Takes at most `limit` names, and drops those that were taken `transmissions` times. */
  take(limit: number, transmissions: number): string[] {
    const entries = [...this.sent].sort((left, right) => left[1] - right[1]).slice(0, limit);
    for (const [name, count] of entries) {
      if (count + 1 >= transmissions) {
        this.sent.delete(name);
      } else {
        this.sent.set(name, count + 1);
      }
    }
    return entries.map(([name]) => name);
  }
}
