/**
 * Detects callers that stop sending a request body. One timer polls the byte counters of all watched
 * connections, which avoids a timer per chunk.
 */
import type { IncomingMessage } from 'node:http';

const CHECKS_PER_TIMEOUT = 4;

interface WatchedBody {
  readonly request: IncomingMessage;
  readonly onStalled: () => void;
  bytes: number;
  lastProgressAt: number;
}

/** Watches the request bodies of one server. */
export class BodyStallDetector {
  private readonly watched = new Set<WatchedBody>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly maximumPauseMilliseconds: number) {}

  /** Calls `onStalled` when a body makes no progress for too long; returns a function that stops watching. */
  watch(request: IncomingMessage, onStalled: () => void): () => void {
    if (request.complete) {
      return () => {};
    }
    const entry = {
      request,
      onStalled,
      bytes: request.socket.bytesRead,
      lastProgressAt: performance.now(),
    };
    this.watched.add(entry);
    this.timer ??= setInterval(
      this.check,
      this.maximumPauseMilliseconds / CHECKS_PER_TIMEOUT,
    ).unref();
    return () => this.watched.delete(entry);
  }

  /** Stops watching all bodies. */
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
        // A body that nothing reads is paused by back-pressure here, not by its caller.
        entry.bytes = bytesRead;
        entry.lastProgressAt = now;
      } else if (now - entry.lastProgressAt > this.maximumPauseMilliseconds) {
        this.watched.delete(entry);
        entry.onStalled();
      }
    }
  };
}
