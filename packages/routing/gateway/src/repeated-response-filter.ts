/**
 * Removes copies of earlier responses from what an endpoint sends, so that the response behind them is read. The HTTP
 * client ends a request with the first response on its connection, whichever request that belongs to.
 */
import type { ConnectionHistory } from './connection-history.js';

/** A longer head is left to the HTTP client, which has a limit of its own. */
const MAXIMUM_HEAD_BYTES = 65_536;
const HEAD_BEGIN = Buffer.from('HTTP/1.1 ');
const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const BODILESS_PATTERN = /^HTTP\/1\.1 (?:204|304)/;
const LENGTH_PATTERN = /\r\ncontent-length:[ \t]*(\d{1,15})[ \t]*\r\n/i;
const CHUNKED_PATTERN = /\r\ntransfer-encoding:[ \t]*chunked[ \t]*\r\n/i;
const CHUNK_SIZE_PATTERN = /^[\da-f]{1,8}/i;

/** What the next byte belongs to. */
type State =
  /** The response to the current request, or bytes that are left to the HTTP client. */
  | { readonly kind: 'passing' }
  | { readonly kind: 'head' }
  | { readonly kind: 'copied-body'; readonly bytesLeft: number }
  | { readonly kind: 'copied-chunk-size' }
  | { readonly kind: 'copied-chunk'; readonly bytesLeft: number }
  | { readonly kind: 'copied-trailer' };

const passing: State = { kind: 'passing' };

/** Options of `RepeatedResponseFilter`. */
export interface RepeatedResponseFilterOptions {
  readonly history: ConnectionHistory;
  /** Lower-case name of the header with the id of the request. */
  readonly requestIdHeader: string;
  /** Called for each copy that is removed. */
  readonly onRemoved: () => void;
}

/** Filters the bytes of one connection. */
export class RepeatedResponseFilter {
  private state = passing;

  /** Bytes that have not been passed on yet. */
  private pending: Buffer = Buffer.alloc(0);

  private readonly idPattern: RegExp;

  constructor(private readonly options: RepeatedResponseFilterOptions) {
    this.idPattern = new RegExp(
      `\\r\\n${options.requestIdHeader}:[ \\t]*([^\\r\\n]*?)[ \\t]*\\r\\n`,
      'i',
    );
  }

  /** Expects the response to the request that is sent next; call it only if an earlier one was sent. */
  expectResponse(): void {
    this.state = { kind: 'head' };
  }

  /** Returns the bytes that are left of a chunk and of what was held back before it; may be empty. */
  filter(chunk: Buffer): Buffer {
    if (this.state.kind === 'passing') {
      return chunk;
    }
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    while (this.state.kind !== 'passing') {
      const next = this.advance(this.state);
      if (next === undefined) {
        return Buffer.alloc(0);
      }
      this.state = next;
    }
    const passed = this.pending;
    this.pending = Buffer.alloc(0);
    return passed;
  }

  /** Returns the state after a part of the pending bytes; undefined if more bytes are needed. */
  private advance(state: Exclude<State, { kind: 'passing' }>): State | undefined {
    switch (state.kind) {
      case 'head':
        return this.readHead();
      case 'copied-body':
        return this.skip(state.bytesLeft)
          ? { kind: 'head' }
          : this.keepSkipping('copied-body', state.bytesLeft);
      case 'copied-chunk':
        return this.skip(state.bytesLeft)
          ? { kind: 'copied-chunk-size' }
          : this.keepSkipping('copied-chunk', state.bytesLeft);
      case 'copied-chunk-size':
        return this.readChunkSize();
      default:
        return this.readTrailerLine();
    }
  }

  private readHead(): State | undefined {
    const begin = this.pending.subarray(0, HEAD_BEGIN.length);
    if (!begin.equals(HEAD_BEGIN.subarray(0, begin.length))) {
      return passing;
    }
    const end = this.pending.indexOf(HEAD_END);
    if (end === -1) {
      return this.pending.length > MAXIMUM_HEAD_BYTES ? passing : undefined;
    }
    const head = this.pending.toString('latin1', 0, end + LINE_END.length);
    const earlier = this.options.history.findEarlier(this.idPattern.exec(head)?.[1]);
    const next = earlier === undefined ? passing : RepeatedResponseFilter.findBody(head, earlier);
    if (next.kind !== 'passing') {
      this.skip(end + HEAD_END.length);
      this.options.onRemoved();
    }
    return next;
  }

  /** A response that ends with its connection is passed on; none can follow it. */
  private static findBody(head: string, { isHead }: { readonly isHead: boolean }): State {
    if (isHead || BODILESS_PATTERN.test(head)) {
      return { kind: 'head' };
    }
    if (CHUNKED_PATTERN.test(head)) {
      return { kind: 'copied-chunk-size' };
    }
    const length = LENGTH_PATTERN.exec(head)?.[1];
    return length === undefined ? passing : { kind: 'copied-body', bytesLeft: Number(length) };
  }

  private readChunkSize(): State | undefined {
    const end = this.pending.indexOf(LINE_END);
    if (end === -1) {
      return this.pending.length > MAXIMUM_HEAD_BYTES ? passing : undefined;
    }
    const text = CHUNK_SIZE_PATTERN.exec(this.pending.toString('latin1', 0, end))?.[0];
    if (text === undefined) {
      return passing;
    }
    this.skip(end + LINE_END.length);
    const size = Number.parseInt(text, 16);
    return size === 0
      ? { kind: 'copied-trailer' }
      : { kind: 'copied-chunk', bytesLeft: size + LINE_END.length };
  }

  private readTrailerLine(): State | undefined {
    const end = this.pending.indexOf(LINE_END);
    if (end === -1) {
      return this.pending.length > MAXIMUM_HEAD_BYTES ? passing : undefined;
    }
    this.skip(end + LINE_END.length);
    return { kind: end === 0 ? 'head' : 'copied-trailer' };
  }

  /** Drops bytes; returns whether all of them were there, and drops none otherwise. */
  private skip(count: number): boolean {
    if (this.pending.length < count) {
      return false;
    }
    this.pending = this.pending.subarray(count);
    return true;
  }

  private keepSkipping(kind: 'copied-body' | 'copied-chunk', bytesLeft: number): undefined {
    this.state = { kind, bytesLeft: bytesLeft - this.pending.length };
    this.pending = Buffer.alloc(0);
    return undefined;
  }
}
