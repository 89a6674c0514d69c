/**
 * Watches request bodies for callers that stop sending. One timer reads the byte counters of all
 * watched connections, so that chunks need no timers.
 */
import type { IncomingMessage } from 'node:http';

const CHECKS_PER_LIMIT = 4;

interface Watched {
  readonly request: IncomingMessage;
  readonly onSlow: () => void;
  bytes: number;
  changedAt: number;
}

/** Watches the bodies of one server. */
export class BodyWatch {
  private readonly watched = new Set<Watched>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly pauseMilliseconds: number) {}

  /** Calls `onSlow` when a body pauses too long; returns the function that ends the watch. */
  watch(request: IncomingMessage, onSlow: () => void): () => void {
    if (request.complete) {
      return () => {};
    }
    const entry = {
      request,
      onSlow,
      bytes: request.socket.bytesRead,
      changedAt: performance.now(),
    };
    this.watched.add(entry);
    this.timer ??= setInterval(this.check, this.pauseMilliseconds / CHECKS_PER_LIMIT).unref();
    return () => this.watched.delete(entry);
  }

  /** Ends all watches. */
  close(): void {
    clearInterval(this.timer);
    this.watched.clear();
  }

  private readonly check = (): void => {
    const now = performance.now();
    for (const entry of this.watched) {
      const { bytesRead } = entry.request.socket;
      if (entry.request.complete || entry.request.destroyed) {
        this.watched.delete(entry);
      } else if (bytesRead !== entry.bytes || entry.request.readableFlowing !== true) {
        // A body that nobody reads waits for this side and not for its caller.
        entry.bytes = bytesRead;
        entry.changedAt = now;
      } else if (now - entry.changedAt > this.pauseMilliseconds) {
        this.watched.delete(entry);
        entry.onSlow();
      }
    }
  };
}
