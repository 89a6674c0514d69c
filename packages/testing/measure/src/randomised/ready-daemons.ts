/**
 * Tracks the daemons whose readiness check passes, as the platform's load balancer does. Callers connect to
 * them directly, so that the daemon of each exchange is known.
 */
import type * as load from '@dogwoodstall/load';
import { setTimeout as sleep } from 'node:timers/promises';
import type { DaemonProcess } from '../fleet/daemon-process.js';

const POLL_MILLISECONDS = 200;

/** Polls the readiness of daemons and selects targets for callers. */
export class ReadyDaemons {
  private readonly ready = new Set<string>();

  private stopped = false;

  private loops: Promise<void>[] = [];

  constructor(private readonly daemons: readonly DaemonProcess[]) {}

  start(): void {
    this.daemons.forEach((daemon) => this.ready.add(daemon.callerAddress));
    this.loops = this.daemons.map((daemon) => this.pollReadiness(daemon));
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  /** Selects a ready daemon uniformly at random, or any daemon if none is ready. */
  readonly choose: load.TargetChooser = (targets, draw) => {
    const candidates = targets.flatMap((target, index) =>
      this.ready.has(target.address) ? [index] : [],
    );
    const chosen = candidates[Math.floor(draw() * candidates.length)];
    return chosen ?? Math.floor(draw() * targets.length);
  };

  /** Caller addresses of the ready daemons. */
  get addresses(): string[] {
    return [...this.ready];
  }

  private async pollReadiness(daemon: DaemonProcess): Promise<void> {
    while (!this.stopped) {
      if (await daemon.isReady()) {
        this.ready.add(daemon.callerAddress);
      } else {
        this.ready.delete(daemon.callerAddress);
      }
      await sleep(POLL_MILLISECONDS);
    }
  }
}
