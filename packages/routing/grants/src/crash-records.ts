/**
 * Records of requests that crash endpoints. A request is identified by a digest of its caller, target and body,
 * because callers retry it under a new id.
 */

/** Number of endpoints that a request must have crashed before it is refused. */
const CRASHES_TO_REFUSE = 3;
/** Retention time of a record after its last crash. */
const RECORD_MILLISECONDS = 120_000;
/** Maximum number of records; the one with the oldest crash is evicted first. */
const MAXIMUM_RECORDS = 4096;

interface CrashRecord {
  readonly endpoints: Set<string>;
  lastAt: number;
}

/** Requests whose endpoints closed the connection while processing them. */
export class CrashRecords {
  private readonly records = new Map<string, CrashRecord>();

  /** Records that an endpoint reset the connection while processing a request. */
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

  /** Removes the record of a request that an endpoint has processed successfully. */
  clear(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  /** Whether a request has crashed enough endpoints to be refused. */
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
