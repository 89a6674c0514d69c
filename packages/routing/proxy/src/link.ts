/**
 * The heartbeat of one link to a peer. While forwarded requests are unanswered, a link that stays silent is
 * stalled: its daemon is paused or the network drops packets without closing the connection.
 */
import { FailureError } from '@dogwoodstall/results';
import type { Dispatcher } from 'undici';

const HEARTBEAT_MILLISECONDS = 100;
const SILENCE_MILLISECONDS = 300;

/** Path of heartbeats on the peer port. */
export const HEARTBEAT_PATH = '/forward/.well-known/dogwoodstall/heartbeat';

/** A connection to a peer daemon. */
export interface PeerTarget {
  /** Name of the daemon. */
  readonly name: string;
  /** Without a limit of connections: a heartbeat that waits for one looks like a stalled link. */
  readonly dispatcher: Dispatcher;
  /** `https://192.0.2.1:8444`. */
  readonly baseUrl: string;
}

/** Options of `LinkMonitor`. */
export interface LinkMonitorOptions {
  readonly heartbeatMilliseconds?: number;
  readonly silenceMilliseconds?: number;
  /** Called once for each stall of a link. */
  readonly onStalled?: (peer: string) => void;
}

/** Heartbeats and waiting requests of one link. */
export class Link {
  private readonly waiting = new Set<() => void>();

  private timer: NodeJS.Timeout | undefined;

  private lastHeardAt = 0;

  private lastTickAt = 0;

  constructor(
    private readonly peer: PeerTarget,
    private readonly options: LinkMonitorOptions,
  ) {}

  readonly heard = (): void => {
    this.lastHeardAt = performance.now();
  };

  watch(onStalled: () => void): () => void {
    this.waiting.add(onStalled);
    if (this.timer === undefined) {
      this.heard();
      this.lastTickAt = this.lastHeardAt;
      this.timer = setInterval(this.tick, this.interval);
      this.timer.unref();
    }
    return () => {
      this.waiting.delete(onStalled);
      if (this.waiting.size === 0) {
        clearInterval(this.timer);
        this.timer = undefined;
      }
    };
  }

  private get interval(): number {
    return this.options.heartbeatMilliseconds ?? HEARTBEAT_MILLISECONDS;
  }

  private heartbeat: Dispatcher.DispatchController | undefined;

  private heartbeatWaits = false;

  private readonly tick = (): void => {
    const now = performance.now();
    const late = now - this.lastTickAt > 2 * this.interval;
    this.lastTickAt = now;
    if (late) {
      // This process itself was paused; the silence may be its own.
      this.lastHeardAt = now;
    }
    const silence = this.options.silenceMilliseconds ?? SILENCE_MILLISECONDS;
    if (now - this.lastHeardAt > silence) {
      this.lastHeardAt = now;
      this.options.onStalled?.(this.peer.name);
      this.heartbeat?.abort(new FailureError('PeerTimeout'));
      for (const onStalled of [...this.waiting]) {
        onStalled();
      }
      return;
    }
    this.sendHeartbeat();
  };

  private readonly endHeartbeat = (): void => {
    this.heartbeat = undefined;
    this.heartbeatWaits = false;
  };

  private sendHeartbeat(): void {
    if (this.heartbeatWaits) {
      // More heartbeats to a silent peer would only open more connections.
      return;
    }
    this.heartbeatWaits = true;
    const options = { origin: this.peer.baseUrl, path: HEARTBEAT_PATH, method: 'GET' as const };
    this.peer.dispatcher.dispatch(options, {
      onRequestStart: (controller) => {
        this.heartbeat = controller;
      },
      onResponseStart: this.heard,
      onResponseData: () => {},
      onResponseEnd: this.endHeartbeat,
      onResponseError: this.endHeartbeat,
    });
  }
}
