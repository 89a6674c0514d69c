/**
 * One direction of a proxied connection: delay, bandwidth limit and black hole.
 */
import { once } from 'node:events';
import type * as net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const TICK_MILLISECONDS = 5;

/** The faults of one direction; read again for each chunk. */
export interface DirectionFaults {
  /** Bytes are read and thrown away. */
  readonly drop: boolean;
  readonly delayMilliseconds: number;
  /** 0 is unlimited. */
  readonly bytesPerSecond: number;
  /** Called with the number of bytes that a black hole swallowed. */
  readonly recordDrop: (bytes: number) => void;
}

interface PendingChunk {
  readonly bytes: Buffer;
  readonly dueAt: number;
}

class DirectionPump {
  private readonly pending: PendingChunk[] = [];

  private readonly source: net.Socket;

  private readonly target: net.Socket;

  private readonly readFaults: () => DirectionFaults;

  private sending = false;

  private sourceEnded = false;

  // A stream of which bytes are missing must not continue after the black hole is removed, because
  // TCP would never deliver it; the connection stays silent until it is closed.
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
      // With a delay, further chunks are read at once, so that the delay does not limit the rate.
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
    let rest = bytes;
    while (rest.length > 0) {
      const limit = this.readFaults().bytesPerSecond;
      const size =
        limit === 0 ? rest.length : Math.max(1, Math.floor((limit * TICK_MILLISECONDS) / 1000));
      const part = rest.subarray(0, size);
      rest = rest.subarray(part.length);
      if (!this.target.write(part) && !this.target.destroyed) {
        await Promise.race([once(this.target, 'drain'), once(this.target, 'close')]);
      }
      if (limit > 0) {
        await sleep(TICK_MILLISECONDS);
      }
    }
  }
}

/** Forwards one direction until its source ends. */
export function pump(
  source: net.Socket,
  target: net.Socket,
  readFaults: () => DirectionFaults,
): void {
  new DirectionPump(source, target, readFaults).start();
}
