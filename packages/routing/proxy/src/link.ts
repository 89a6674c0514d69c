/**
 * Sends heartbeats on the link to one peer while forwarded requests await a response. A link without
 * any received data is stalled: the peer is paused, or the network drops packets without closing the
 * connection.
 */
import { FailureError } from '@dogwoodstall/results';
import type { Dispatcher } from 'undici';

const HEARTBEAT_MILLISECONDS = 100;
const STALL_TIMEOUT_MILLISECONDS = 300;

/** Path of heartbeat requests on the peer port. */
export const HEARTBEAT_PATH = '/forward/.well-known/dogwoodstall/heartbeat';

/** A peer daemon and the connection pool to reach it. */
export interface PeerTarget {
  /** Name of the daemon. */
  readonly name: string;
  /** Must have no connection limit: a heartbeat queued for a connection would look like a stalled link. */
  readonly dispatcher: Dispatcher;
  /** For example `https://192.0.2.1:8444`. */
  readonly baseUrl: string;
}

/** Options of `LinkMonitor`. */
export interface LinkMonitorOptions {
  readonly heartbeatMilliseconds?: number;
  readonly stallTimeoutMilliseconds?: number;
  /** Called once per stall. */
  readonly onStalled?: (peer: string) => void;
}

/** The heartbeats and stall listeners of one link. */
export class Link {
  private readonly stallListeners = new Set<() => void>();

  private timer: NodeJS.Timeout | undefined;

  private lastActivityAt = 0;

  private lastCheckAt = 0;

  constructor(
    private readonly peer: PeerTarget,
    private readonly options: LinkMonitorOptions,
  ) {}

  readonly recordActivity = (): void => {
    this.lastActivityAt = performance.now();
  };

  watch(onStalled: () => void): () => void {
    this.stallListeners.add(onStalled);
    if (this.timer === undefined) {
      this.recordActivity();
      this.lastCheckAt = this.lastActivityAt;
      this.timer = setInterval(this.check, this.heartbeatInterval);
      this.timer.unref();
    }
    return () => {
      this.stallListeners.delete(onStalled);
      if (this.stallListeners.size === 0) {
        clearInterval(this.timer);
        this.timer = undefined;
      }
    };
  }

  private get heartbeatInterval(): number {
    return this.options.heartbeatMilliseconds ?? HEARTBEAT_MILLISECONDS;
  }

  private heartbeat: Dispatcher.DispatchController | undefined;

  private heartbeatPending = false;

  private readonly check = (): void => {
    const now = performance.now();
    const timerDelayed = now - this.lastCheckAt > 2 * this.heartbeatInterval;
    this.lastCheckAt = now;
    if (timerDelayed) {
      // A pause of this process delayed the timer; it may also explain the missing data.
      this.lastActivityAt = now;
    }
    const stallTimeout = this.options.stallTimeoutMilliseconds ?? STALL_TIMEOUT_MILLISECONDS;
    if (now - this.lastActivityAt > stallTimeout) {
      this.lastActivityAt = now;
      this.options.onStalled?.(this.peer.name);
      this.heartbeat?.abort(new FailureError('PeerTimeout'));
      for (const onStalled of [...this.stallListeners]) {
        onStalled();
      }
      return;
    }
    this.sendHeartbeat();
  };

  private readonly finishHeartbeat = (): void => {
    this.heartbeat = undefined;
    this.heartbeatPending = false;
  };

  private sendHeartbeat(): void {
    if (this.heartbeatPending) {
      // Further heartbeats to an unresponsive peer would only open more connections.
      return;
    }
    this.heartbeatPending = true;
    const options = { origin: this.peer.baseUrl, path: HEARTBEAT_PATH, method: 'GET' as const };
    this.peer.dispatcher.dispatch(options, {
      onRequestStart: (controller) => {
        this.heartbeat = controller;
      },
      onResponseStart: this.recordActivity,
      onResponseData: () => {},
      onResponseEnd: this.finishHeartbeat,
      onResponseError: this.finishHeartbeat,
    });
  }
}
