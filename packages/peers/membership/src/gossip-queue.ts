/**
 * Members whose updates are piggybacked on outgoing messages, each a limited number of times. The
 * updates sent least often go first.
 */

/** A queue of the names of members with updates to send. */
export class GossipQueue {
  private readonly sent = new Map<string, number>();

  /** Number of members with updates left to send. */
  get size(): number {
    return this.sent.size;
  }

  /** Adds a member, or restarts its transmission count after a newer update. */
  add(name: string): void {
    this.sent.delete(name);
    this.sent.set(name, 0);
  }

  /** Removes a member. */
  remove(name: string): void {
    this.sent.delete(name);
  }

  /** Takes at most `limit` names and drops those that have been taken `transmissions` times. */
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
