/**
 * The permit of one attempt: tracks whether the request may have reached a backend server. The state
 * of the record after the attempt is derived from the permit, never from the kind of an error.
 */
import { FailureError, reportViolation } from '@dogwoodstall/results';

/** Must be called around each transmission of a request to a backend server. */
export interface ExecutionPermit {
  /** Called before the first byte is sent. Throws when the request must not be sent. */
  begin(): void;
  /** Called when it is proved that the backend server did not run the latest transmission. */
  proveNotRun(): void;
}

/** The permit of one attempt of one key. */
export class AttemptPermit implements ExecutionPermit {
  private transmissionStarted = false;

  private closed = false;

  constructor(private readonly keyId: string) {}

  /** Whether a backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.transmissionStarted;
  }

  begin(): void {
    if (this.closed) {
      reportViolation('ExecutedAfterNotRun', `the attempt of key ${this.keyId} has ended`);
      throw new FailureError('ExecutedAfterNotRun');
    }
    if (this.transmissionStarted) {
      reportViolation('ExecutedTwice', `an earlier transmission of key ${this.keyId} may have run`);
      throw new FailureError('ExecutedTwice');
    }
    this.transmissionStarted = true;
  }

  proveNotRun(): void {
    if (!this.closed) {
      this.transmissionStarted = false;
    }
  }

  /** Ends the attempt; later calls of `begin` throw. */
  close(): void {
    this.closed = true;
  }
}
