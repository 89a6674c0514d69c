/**
 * Requests that crash endpoints. A request is recognised by a digest of its caller, target and body, because the
 * caller sends it again under another id.
 */

/** Endpoints that a request must have lost before it is refused. */
const CRASHES_TO_REFUSE = 3;
/** Time for which a record is kept after its last crash. */
const RECORD_MILLISECONDS = 120_000;
/** Records kept; the oldest is dropped first. */
const MAXIMUM_RECORDS = 4096;

interface CrashRecord {
  readonly endpoints: Set<string>;
  lastAt: number;
}

/** The requests whose endpoints were lost while they processed them. */
export class CrashRecords {
  private readonly records = new Map<string, CrashRecord>();

  /** Notes that an endpoint broke off while it processed a request. */
  add(fingerprint: string, endpoint: string, now: number): void {
    const record = this.records.get(fingerprint) ?? { endpoints: new Set(), lastAt: now };
    record.endpoints.add(endpoint);
    record.lastAt = now;
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    if (this.records.size > MAXIMUM_RECORDS) {
      this.records.delete(this.records.keys().next().value as string);
    }
  }

  /** Notes that an endpoint answered a request, which thereby does not crash endpoints. */
  clear(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  /** Whether a request is refused because it crashed several endpoints. */
  isCrashing(fingerprint: string, now: number): boolean {
    const record = this.records.get(fingerprint);
    if (record === undefined) {
      return false;
    }
    if (now - record.lastAt > RECORD_MILLISECONDS) {
      this.records.delete(fingerprint);
      return false;
    }
    return record.endpoints.size >= CRASHES_TO_REFUSE;
  }
}
