/**
 * One link of the fault-injecting TCP proxy, with its own listening address, one target and faults
 * that can be changed while connections are open.
 */
import * as net from 'node:net';
import * as zod from 'zod';
import { listen, parseAddress } from '../control-server.js';
import { forwardDirection } from './direction-forwarder.js';

/** Faults of one link; `forward` is the direction from the connecting side to the target. */
export const linkFaultsSchema = zod.strictObject({
  dropForward: zod.boolean().default(false),
  dropBackward: zod.boolean().default(false),
  delayForwardMilliseconds: zod.number().min(0).default(0),
  delayBackwardMilliseconds: zod.number().min(0).default(0),
  /** Bandwidth limit of each connection and direction; 0 means unlimited. */
  bytesPerSecond: zod.number().min(0).default(0),
  /** New connections are reset. */
  refuse: zod.boolean().default(false),
});

/** Complete set of faults of one link. */
export type LinkFaults = zod.output<typeof linkFaultsSchema>;

// A socket with a pending shutdown can't be reset: libuv rejects the reset, the handle stays open,
// and Node.js 20 busy-loops on it when the process exits.
function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}

/** One proxied link. */
export class FaultLink {
  readonly name: string;

  private readonly target: string;

  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  private faults: LinkFaults = linkFaultsSchema.parse({});

  private boundAddress = '';

  private connectionCount = 0;

  private droppedByteCount = 0;

  constructor(name: string, target: string) {
    this.name = name;
    this.target = target;
    this.server = net.createServer({ allowHalfOpen: true }, (socket) => this.connect(socket));
  }

  get address(): string {
    return this.boundAddress;
  }

  /** Number of connections since the start. */
  get connections(): number {
    return this.connectionCount;
  }

  /** Number of bytes that were dropped in both directions. */
  get droppedBytes(): number {
    return this.droppedByteCount;
  }

  async start(address = '127.0.0.1:0'): Promise<void> {
    this.boundAddress = await listen(this.server, address);
  }

  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.resetConnections();
    });
  }

  /** Merges the given faults into the current ones. */
  setFaults(partial: unknown): LinkFaults {
    this.faults = linkFaultsSchema.parse({ ...this.faults, ...(partial as object) });
    return this.faults;
  }

  /** Resets every open connection. */
  resetConnections(): void {
    for (const socket of this.sockets) {
      resetSocket(socket);
    }
  }

  private connect(caller: net.Socket): void {
    this.connectionCount += 1;
    if (this.faults.refuse) {
      resetSocket(caller);
      return;
    }
    const { host, port } = parseAddress(this.target);
    const target = net.connect({ host, port, allowHalfOpen: true, noDelay: true });
    caller.setNoDelay(true);
    this.linkSockets(caller, target);
    this.linkSockets(target, caller);
    const recordDrop = (bytes: number): void => {
      this.droppedByteCount += bytes;
    };
    forwardDirection(caller, target, () => ({
      drop: this.faults.dropForward,
      delayMilliseconds: this.faults.delayForwardMilliseconds,
      bytesPerSecond: this.faults.bytesPerSecond,
      recordDrop,
    }));
    forwardDirection(target, caller, () => ({
      drop: this.faults.dropBackward,
      delayMilliseconds: this.faults.delayBackwardMilliseconds,
      bytesPerSecond: this.faults.bytesPerSecond,
      recordDrop,
    }));
  }

  private linkSockets(socket: net.Socket, other: net.Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => resetSocket(other));
    socket.once('close', (failed) => {
      this.sockets.delete(socket);
      if (failed) {
        resetSocket(other);
      } else {
        other.end();
      }
    });
  }
}
