/**
 * The daemons that callers use: those whose readiness check answers, as the platform's balancer
 * chooses them. Callers connect directly, so that each exchange is known with its daemon.
 */
import type * as load from '@dogwoodstall/load';
import { setTimeout as sleep } from 'node:timers/promises';
import type { DaemonProcess } from '../fleet/daemon-process.js';

const POLL_MILLISECONDS = 200;

/** Follows the readiness of daemons. */
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

  /** Chooses a ready daemon with equal probability; any when none is ready. */
  readonly choose: load.TargetChooser = (targets, draw) => {
    const candidates = targets.flatMap((target, index) =>
      this.ready.has(target.address) ? [index] : [],
    );
    const chosen = candidates[Math.floor(draw() * candidates.length)];
    return chosen ?? Math.floor(draw() * targets.length);
  };

  /** Returns the addresses that are in rotation now. */
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
