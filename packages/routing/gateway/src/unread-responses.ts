/**
 * Responses that were sent and that their callers have not read yet, so that they still take memory. When it is needed,
 * those are given up whose callers have stopped waiting.
 */
import type * as http from 'node:http';
import type { MemoryShare } from './memory-share.js';
import type { RequestLifetime } from './request-lifetime.js';

/** A response that a caller has not read completely. */
interface UnreadResponse {
  readonly response: http.ServerResponse;
  readonly lifetime: RequestLifetime;
  readonly memoryShare: MemoryShare;
  /** Monotonic milliseconds until which the caller waits. */
  readonly deadlineAt: number;
}

/** The unread responses of one daemon. */
export class UnreadResponses {
  private readonly unread = new Set<UnreadResponse>();

  /** `onGivenUp` is called with the bytes of each response that is given up. */
  constructor(private readonly onGivenUp: (bytes: number) => void) {}

  /** Adds a response until its connection has taken it or is closed. */
  add(entry: UnreadResponse): void {
    const { response, lifetime } = entry;
    if (!response.writableFinished && !lifetime.isClosed) {
      this.unread.add(entry);
      lifetime.onceClosed(() => this.unread.delete(entry));
    }
  }

  /** Gives up responses until the given number of bytes is free, those whose callers stopped waiting first. */
  reclaim(bytes: number): void {
    const now = performance.now();
    const expired = [...this.unread].filter(({ deadlineAt }) => now > deadlineAt);
    let reclaimed = 0;
    for (const entry of expired.sort((left, right) => left.deadlineAt - right.deadlineAt)) {
      if (reclaimed >= bytes) {
        return;
      }
      const { held } = entry.memoryShare;
      reclaimed += held;
      this.unread.delete(entry);
      entry.memoryShare.close();
      entry.response.destroy();
      this.onGivenUp(held);
    }
  }
}
