/**
 * The permit of one attempt: tracks whether the request may have reached a backend server. What the
 * record says about the attempt is derived from the permit, never from the kind of an error.
 */
import { FailureError, reportViolation } from '@dogwoodstall/results';

/** What an attempt must call around each transmission towards a backend server. */
export interface ExecutionPermit {
  /** Called before the first byte may leave. Throws when the request must not be sent. */
  begin(): void;
  /** Called when the transmission that began last is proved not run. */
  proveNotRun(): void;
}

/** The permit of one attempt under one key. */
export class AttemptPermit implements ExecutionPermit {
  private transmissionStarted = false;

  private closed = false;

  constructor(private readonly keyId: string) {}

  /** Whether the request may have been run. */
  get mayHaveRun(): boolean {
    return this.transmissionStarted;
  }

  begin(): void {
    if (this.closed) {
      reportViolation('ExecutedAfterNotRun', `the attempt under ${this.keyId} has ended`);
      throw new FailureError('ExecutedAfterNotRun');
    }
    if (this.transmissionStarted) {
      reportViolation('ExecutedTwice', `a transmission under ${this.keyId} is not proved not run`);
      throw new FailureError('ExecutedTwice');
    }
    this.transmissionStarted = true;
  }

  proveNotRun(): void {
    if (!this.closed) {
      this.transmissionStarted = false;
    }
  }

  /** Ends the attempt; nothing may be sent under it any more. */
  close(): void {
    this.closed = true;
  }
}
