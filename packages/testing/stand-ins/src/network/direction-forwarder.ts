/**
 * Forwards one direction of a proxied connection with delay, bandwidth limit and dropped bytes.
 */
import { once } from 'node:events';
import type * as net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const TICK_MILLISECONDS = 5;

/** Faults of one direction; they are read again for each chunk. */
export interface DirectionFaults {
  /** Bytes are read and discarded. */
  readonly drop: boolean;
  readonly delayMilliseconds: number;
  /** 0 means unlimited. */
  readonly bytesPerSecond: number;
  /** Called with the number of bytes that were discarded. */
  readonly recordDrop: (bytes: number) => void;
}

interface PendingChunk {
  readonly bytes: Buffer;
  readonly dueAt: number;
}

class DirectionForwarder {
  private readonly pending: PendingChunk[] = [];

  private readonly source: net.Socket;

  private readonly target: net.Socket;

  private readonly readFaults: () => DirectionFaults;

  private sending = false;

  private sourceEnded = false;

  // Once bytes were dropped, forwarding must not resume after the fault is removed, because TCP never
  // delivers a stream with a gap; the connection transfers nothing more until it is closed.
  private lostBytes = false;

  constructor(source: net.Socket, target: net.Socket, readFaults: () => DirectionFaults) {
    this.source = source;
    this.target = target;
    this.readFaults = readFaults;
  }

  start(): void {
    this.source.on('data', (bytes: Buffer) => this.receive(bytes));
    this.source.once('end', () => {
      this.sourceEnded = true;
      this.send().catch(() => this.target.destroy());
    });
  }

  private receive(bytes: Buffer): void {
    const faults = this.readFaults();
    this.lostBytes ||= faults.drop;
    if (this.lostBytes) {
      faults.recordDrop(bytes.length);
      return;
    }
    this.pending.push({ bytes, dueAt: performance.now() + faults.delayMilliseconds });
    this.source.pause();
    this.send().catch(() => this.target.destroy());
  }

  private async send(): Promise<void> {
    if (this.sending) {
      return;
    }
    this.sending = true;
    for (let chunk = this.pending.shift(); chunk !== undefined; chunk = this.pending.shift()) {
      // Without a bandwidth limit, reading resumes before the delay, so that it does not limit the rate.
      if (this.readFaults().bytesPerSecond === 0) {
        this.source.resume();
      }
      const wait = chunk.dueAt - performance.now();
      if (wait > 0) {
        await sleep(wait);
      }
      await this.writeLimited(chunk.bytes);
      this.source.resume();
    }
    this.sending = false;
    if (this.sourceEnded && !this.lostBytes) {
      this.target.end();
    }
  }

  private async writeLimited(bytes: Buffer): Promise<void> {
    let remaining = bytes;
    while (remaining.length > 0) {
      const limit = this.readFaults().bytesPerSecond;
      const size =
        limit === 0
          ? remaining.length
          : Math.max(1, Math.floor((limit * TICK_MILLISECONDS) / 1000));
      const part = remaining.subarray(0, size);
      remaining = remaining.subarray(part.length);
      if (!this.target.write(part) && !this.target.destroyed) {
        await Promise.race([once(this.target, 'drain'), once(this.target, 'close')]);
      }
      if (limit > 0) {
        await sleep(TICK_MILLISECONDS);
      }
    }
  }
}

/** Forwards data from `source` to `target` until the source ends. */
export function forwardDirection(
  source: net.Socket,
  target: net.Socket,
  readFaults: () => DirectionFaults,
): void {
  new DirectionForwarder(source, target, readFaults).start();
}
