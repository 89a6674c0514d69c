/**
 * Finds responses whose status can't be one. The HTTP client passes some on, waits behind others for a further response, and
 * fails an assertion of its own at the rest.
 */

/** Long enough to tell how many digits the status has. */
const LINE_BEGIN_BYTES = 'HTTP/1.1 200 '.length;
const STATUS_PATTERN = /^HTTP\/\d\.\d (\d+)/;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const LOWEST_STATUS = 100;
const HIGHEST_STATUS = 599;
const LOWEST_FINAL_STATUS = 200;
/** The connection would no longer speak HTTP, though no request asks for that. */
const SWITCHING_PROTOCOLS = 101;

/** Checks the status lines in the bytes of one connection. */
export class StatusLineCheck {
  private state: 'passing' | 'status-line' | 'informational-head' = 'status-line';

  /** The status line as far as it was received. */
  private begin = '';

  /** Whether only the end of a line was received since the last line of an informational head. */
  private atLineBegin = false;

  /** Expects the response to the request that is sent next. */
  expectResponse(): void {
    this.state = 'status-line';
    this.begin = '';
  }

  /** Returns whether the next bytes can be part of a response, as far as the status shows it. */
  accepts(chunk: Buffer): boolean {
    for (let at = 0; at < chunk.length && this.state !== 'passing';) {
      if (this.state === 'status-line') {
        at = this.readLineBegin(chunk, at);
        if (this.begin.length === LINE_BEGIN_BYTES && !this.readStatus()) {
          return false;
        }
      } else {
        this.readInformational(chunk[at] as number);
        at += 1;
      }
    }
    return true;
  }

  /** Returns the position behind the bytes that were read. */
  private readLineBegin(chunk: Buffer, start: number): number {
    let at = start;
    // Line ends before a status line are ignored.
    while (
      this.begin === '' &&
      (chunk[at] === LINE_FEED || chunk[at] === CARRIAGE_RETURN) &&
      at < chunk.length
    ) {
      at += 1;
    }
    const end = Math.min(chunk.length, at + LINE_BEGIN_BYTES - this.begin.length);
    this.begin += chunk.toString('latin1', at, end);
    return end;
  }

  /** Returns whether there is a status, and a possible one. The HTTP client also reads status lines of other protocols. */
  private readStatus(): boolean {
    const digits = STATUS_PATTERN.exec(this.begin)?.[1] ?? '';
    const status = Number(digits);
    if (status < LOWEST_FINAL_STATUS) {
      this.state = 'informational-head';
      this.atLineBegin = this.begin.endsWith('\n');
      this.begin = '';
    } else {
      this.state = 'passing';
    }
    return (
      digits.length === 3 &&
      status >= LOWEST_STATUS &&
      status <= HIGHEST_STATUS &&
      status !== SWITCHING_PROTOCOLS
    );
  }

  private readInformational(byte: number): void {
    if (byte === LINE_FEED && this.atLineBegin) {
      this.expectResponse();
    } else if (byte !== CARRIAGE_RETURN) {
      this.atLineBegin = byte === LINE_FEED;
    }
  }
}
