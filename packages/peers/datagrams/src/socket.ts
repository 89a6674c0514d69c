/**
 * The UDP socket of a daemon.
 */
import * as dgram from 'node:dgram';
import { FailureError } from '@dogwoodstall/results';
import { decodeMessage, encodeMessage } from './encoding.js';
import type { Message } from './messages.js';

/** Host and UDP port of a peer. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of `DatagramSocket`. */
export interface DatagramSocketOptions {
  readonly onMessage: (message: Message, from: PeerAddress) => void;
  /** Called for a datagram that is not a valid message. */
  readonly onMalformed: (from: PeerAddress) => void;
  /** Called when a datagram could not be sent, or when the socket fails after `bind`. */
  readonly onSendError: (error: Error, to: PeerAddress) => void;
  /** Called when handling a message failed; the socket goes on with the next message. */
  readonly onHandlerError: (error: unknown, from: PeerAddress) => void;
}

/** Sends and receives messages over UDP. */
export class DatagramSocket {
  private readonly socket = dgram.createSocket('udp4');

  private closed = false;

  constructor(private readonly options: DatagramSocketOptions) {
    this.socket.on('message', (datagram, { address, port }) => {
      const from = { host: address, port };
      try {
        const message = decodeMessage(datagram);
        if (message === undefined) {
          this.options.onMalformed(from);
          return;
        }
        this.options.onMessage(message, from);
      } catch (error) {
        this.options.onHandlerError(error, from);
      }
    });
  }

  /** Binds the socket; throws `ListenFailed` if the address can't be bound. */
  async bind({ host, port }: PeerAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', (cause) =>
        reject(new FailureError('ListenFailed', cause.message, { cause })),
      );
      this.socket.bind(port, host, resolve);
    });
    this.socket.removeAllListeners('error');
    this.socket.on('error', (error) => this.options.onSendError(error, { host, port }));
  }

  /** The address that the socket is bound to. */
  get address(): PeerAddress {
    const { address, port } = this.socket.address();
    return { host: address, port };
  }

  /** Sends a message without a guarantee of delivery; after `close`, messages are dropped. */
  send(message: Message, to: PeerAddress): void {
    if (this.closed) {
      return;
    }
    try {
      this.socket.send(encodeMessage(message), to.port, to.host, (error) => {
        if (error !== null) {
          this.options.onSendError(error, to);
        }
      });
    } catch (error) {
      // Node.js throws if the address can't be one, for example because its port is out of range.
      this.options.onSendError(error as Error, to);
    }
  }

  close(): void {
    this.closed = true;
    this.socket.close();
  }
}
