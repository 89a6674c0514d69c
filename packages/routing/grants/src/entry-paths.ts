/**
 * The network paths from entry daemons to one endpoint: which daemons probably have an open connection, and which ones
 * do not reach the endpoint although others do.
 */

/** Backoff of a path after a failed attempt; doubles with each further one until an attempt succeeds. */
const INITIAL_BACKOFF_MILLISECONDS = 600;
const MAXIMUM_BACKOFF_MILLISECONDS = 4800;
/** Idle time after which an entry's connection to an endpoint has probably been closed. */
const CONNECTION_IDLE_MILLISECONDS = 8000;
/** Number of paths from which on unused ones are removed when another one is added. */
const PATHS_TO_PRUNE = 64;

interface Path {
  lastUseAt: number;
  lastSuccessAt: number;
  backoffUntil: number;
  backoffMilliseconds: number;
  /** Until then the endpoint wants no requests from the entry daemon, whatever it responds to others. */
  pausedUntil: number;
}

/** The paths to one endpoint, by entry daemon. */
export class EntryPaths {
  private readonly paths = new Map<string, Path>();

  /** Records that an entry daemon was granted a slot. */
  recordUse(entry: string, now: number): void {
    this.getOrCreate(entry, now).lastUseAt = now;
  }

  /** Records a response of the endpoint to an entry daemon. */
  recordSuccess(entry: string, now: number): void {
    const path = this.getOrCreate(entry, now);
    path.lastSuccessAt = now;
    path.backoffUntil = -Infinity;
    path.backoffMilliseconds = INITIAL_BACKOFF_MILLISECONDS;
  }

  /** Starts the backoff of a path on which an attempt got no response. */
  recordFailure(entry: string, now: number): void {
    const path = this.getOrCreate(entry, now);
    path.backoffUntil = now + path.backoffMilliseconds;
    path.backoffMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, path.backoffMilliseconds * 2);
  }

  /** Keeps an entry daemon away from the endpoint until the given time, as the endpoint asked it to. */
  pause(entry: string, until: number, now: number): void {
    const path = this.getOrCreate(entry, now);
    path.pausedUntil = Math.max(path.pausedUntil, until);
  }

  /** Whether another entry daemon got a response since the given time. */
  hasOthersSuccessSince(entry: string, since: number): boolean {
    for (const [name, { lastSuccessAt }] of this.paths) {
      if (name !== entry && lastSuccessAt >= since) {
        return true;
      }
    }
    return false;
  }

  /** Whether an entry daemon can't use the endpoint now, after a failed attempt or because the endpoint paused it. */
  isInBackoff(entry: string, now: number): boolean {
    const path = this.paths.get(entry);
    return path !== undefined && now < Math.max(path.backoffUntil, path.pausedUntil);
  }

  /** Whether an entry daemon probably has an open connection to the endpoint. */
  isConnected(entry: string, now: number): boolean {
    const path = this.paths.get(entry);
    return path !== undefined && now - path.lastUseAt < CONNECTION_IDLE_MILLISECONDS;
  }

  /** Number of paths with state, for tests of its bound. */
  get size(): number {
    return this.paths.size;
  }

  clear(): void {
    this.paths.clear();
  }

  private getOrCreate(entry: string, now: number): Path {
    let path = this.paths.get(entry);
    if (path === undefined) {
      if (this.paths.size >= PATHS_TO_PRUNE) {
        this.prune(now);
      }
      path = {
        lastUseAt: -Infinity,
        lastSuccessAt: -Infinity,
        backoffUntil: -Infinity,
        backoffMilliseconds: INITIAL_BACKOFF_MILLISECONDS,
        pausedUntil: -Infinity,
      };
      this.paths.set(entry, path);
    }
    return path;
  }

  private prune(now: number): void {
    for (const [entry, { lastUseAt }] of this.paths) {
      if (now - lastUseAt > CONNECTION_IDLE_MILLISECONDS && !this.isInBackoff(entry, now)) {
        this.paths.delete(entry);
      }
    }
  }
}
