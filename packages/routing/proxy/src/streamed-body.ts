/**
 * A streamed request body, which can be replayed only before any of it has been read.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { FailureError } from '@dogwoodstall/results';
import type { CallerBody } from './caller-body.js';

/** A request body that is too large to buffer or is read only on demand. */
export class StreamedBody implements CallerBody {
  readonly buffered = undefined;

  private consumed = false;

  constructor(
    private readonly request: IncomingMessage,
    readonly length: number | undefined,
    private readonly maximumBytes: number,
    /** Called before the first byte is read. */
    private readonly onFirstRead: () => void = () => {},
  ) {}

  get replayable(): boolean {
    return !this.consumed;
  }

  get complete(): boolean {
    return this.request.complete;
  }

  open(): Readable {
    const { request, maximumBytes } = this;
    let attached = false;
    let received = 0;
    let detach = (): void => {};
    const attach = (stream: Readable): void => {
      attached = true;
      if (!this.consumed) {
        this.consumed = true;
        this.onFirstRead();
      }
      const onData = (chunk: Buffer): void => {
        received += chunk.length;
        if (received > maximumBytes) {
          const message = 'the request body exceeds the size limit of the route';
          stream.destroy(new FailureError('RequestBodyIncomplete', message));
        } else if (!stream.push(chunk)) {
          request.pause();
        }
      };
      const onEnd = (): void => {
        stream.push(null);
      };
      const onPrematureClose = (): void => {
        if (!request.complete) {
          stream.destroy(new FailureError('RequestBodyIncomplete'));
        }
      };
      detach = () => {
        request
          .off('data', onData)
          .off('end', onEnd)
          .off('close', onPrematureClose)
          .off('error', onPrematureClose);
        // Paused without a reader, the rest of the body is discarded when the response ends.
        request.on('error', () => {});
        request.pause();
      };
      request
        .on('data', onData)
        .on('end', onEnd)
        .on('close', onPrematureClose)
        .on('error', onPrematureClose);
    };
    const opened = new Readable({
      read() {
        if (!attached) {
          attach(this);
        }
        request.resume();
      },
      destroy(error, callback) {
        detach();
        callback(error);
      },
    });
    // The transfer reports the error to the exchange. Once it has ended, an error event without a
    // listener would terminate the process.
    opened.on('error', () => {});
    return opened;
  }
}
