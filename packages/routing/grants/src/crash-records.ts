/**
 * Records of requests that crash endpoints. A request is identified by a digest of its caller, target and body,
 * because callers retry it under a new id.
 *
 * The records of two daemons are merged piece by piece of their evidence, so that they may be exchanged in any order,
 * more than once, and in parts. Evidence ends by a later success of the request or by its age, never by its absence.
 */

/** Sum of the weights of the evidence at which a request is refused. */
export const WEIGHT_TO_REFUSE = 3;
/** Weight of a reset that does not look like the end of an idle connection. */
const RESET_WEIGHT = 1;
/** Weight of a reset without a response on a reused connection, which the endpoint may have closed while it was idle. */
const IDLE_RESET_WEIGHT = 0.75;
/** Weight of an end of the endpoint during or after an attempt without a response, which may have had other reasons. */
const SILENT_END_WEIGHT = 0.75;
/** Weight of a reset by an endpoint that accepts connections directly after it, and so has probably not crashed. */
const REACHABLE_WEIGHT = 0.4;
/** Retention time of a record after the last crash or refusal. */
const RECORD_MILLISECONDS = 120_000;
/** Retention time of a record after the last crash, however often the request is refused. */
const MAXIMUM_RECORD_MILLISECONDS = 3_600_000;
/** Maximum number of records; the one that was changed least recently is evicted first. */
const MAXIMUM_RECORDS = 4096;
/** Maximum pieces of evidence of a record, more than a refused request gathers; the newest are kept. */
const MAXIMUM_EVIDENCE = 8;

/** That a process of an endpoint reset a connection while it had the request. */
export interface CrashEvidence {
  readonly endpoint: string;
  readonly lifetime: number;
  readonly weight: number;
  /** Host of the daemon that saw the reset. */
  readonly source: string;
  /** Monotonic milliseconds of this process. */
  readonly at: number;
}

/** What is known of one request. */
export interface CrashRecord {
  readonly fingerprint: string;
  readonly evidence: readonly CrashEvidence[];
  /** Time of the last success of the request, which ends all earlier evidence; -Infinity without any. */
  readonly clearedAt: number;
  /** Time of the last change or refusal. */
  readonly lastAt: number;
}

/** An attempt at a process of an endpoint, as one daemon saw it. */
export interface CrashedAttempt {
  readonly fingerprint: string;
  readonly endpoint: string;
  readonly lifetime: number;
  readonly source: string;
}

/** An attempt that ended by a reset. */
export interface ResetAttempt extends CrashedAttempt {
  /** Whether no response had begun. */
  readonly silent: boolean;
  /** Idle time of the connection before the attempt; 0 for a new connection. */
  readonly rested: number;
  /** Whether the endpoint accepted a connection directly after the reset; undefined if that was not checked. */
  readonly isReachable: boolean | undefined;
}

function createKey({ endpoint, lifetime }: Pick<CrashEvidence, 'endpoint' | 'lifetime'>): string {
  return `${lifetime} ${endpoint}`;
}

/** A total order, newest first, so that daemons keep the same evidence whatever order it arrives in. */
function compareAge(left: CrashEvidence, right: CrashEvidence): number {
  if (left.at !== right.at) {
    return right.at - left.at;
  }
  const leftText = `${left.weight} ${createKey(left)} ${left.source}`;
  const rightText = `${right.weight} ${createKey(right)} ${right.source}`;
  return Number(leftText > rightText) - Number(leftText < rightText);
}

/** Merges two records of the same request. */
export function mergeCrashRecords(left: CrashRecord, right: CrashRecord): CrashRecord {
  const clearedAt = Math.max(left.clearedAt, right.clearedAt);
  const newest = new Map<string, CrashEvidence>();
  for (const evidence of [...left.evidence, ...right.evidence].sort(compareAge)) {
    const key = createKey(evidence);
    if (evidence.at > clearedAt && !newest.has(key) && newest.size < MAXIMUM_EVIDENCE) {
      newest.set(key, evidence);
    }
  }
  return {
    fingerprint: left.fingerprint,
    evidence: [...newest.values()],
    clearedAt,
    lastAt: Math.max(left.lastAt, right.lastAt),
  };
}

/** Returns the sum of the weights of the evidence against a request. */
export function computeCrashWeight({ evidence }: CrashRecord): number {
  return evidence.reduce((sum, { weight }) => sum + weight, 0);
}

function chooseWeight({ silent, rested, isReachable }: ResetAttempt): number {
  if (isReachable === true) {
    return REACHABLE_WEIGHT;
  }
  return silent && rested > 0 ? IDLE_RESET_WEIGHT : RESET_WEIGHT;
}

function isExpired({ evidence, lastAt }: CrashRecord, now: number): boolean {
  const lastCrashAt = Math.max(...evidence.map(({ at }) => at));
  return (
    now - lastAt > RECORD_MILLISECONDS ||
    (evidence.length > 0 && now - lastCrashAt > MAXIMUM_RECORD_MILLISECONDS)
  );
}

/** Requests whose endpoints closed the connection while processing them, as known to one daemon. */
export class CrashRecords {
  private readonly records = new Map<string, CrashRecord>();

  /** Fingerprints of the requests that are refused, those changed last at the end. */
  private readonly crashing = new Set<string>();

  /** `onCrashing` is called when this daemon learns by itself that a request is to be refused. */
  constructor(private readonly onCrashing: (record: CrashRecord) => void = () => {}) {}

  /** Records that an endpoint reset the connection while processing a request. */
  add(attempt: ResetAttempt, now: number): CrashRecord {
    return this.addEvidence(attempt, chooseWeight(attempt), now);
  }

  /** Records that an endpoint ended without a response to a request and without closing the connection. */
  addSilentEnd(attempt: CrashedAttempt, now: number): CrashRecord {
    return this.addEvidence(attempt, SILENT_END_WEIGHT, now);
  }

  private addEvidence(attempt: CrashedAttempt, weight: number, now: number): CrashRecord {
    const { fingerprint, endpoint, lifetime, source } = attempt;
    const evidence = [{ endpoint, lifetime, source, weight, at: now }];
    const update = { fingerprint, evidence, clearedAt: -Infinity, lastAt: now };
    const isCrashing = this.merge(update, now);
    const record = this.find(fingerprint, now) ?? update;
    if (isCrashing) {
      this.onCrashing(record);
    }
    return record;
  }

  /** Records that an endpoint has processed a request successfully; returns its record if there was any evidence. */
  clear(fingerprint: string, now: number): CrashRecord | undefined {
    const record = this.find(fingerprint, now);
    if (record === undefined || record.evidence.length === 0) {
      return undefined;
    }
    this.merge({ fingerprint, evidence: [], clearedAt: now, lastAt: now }, now);
    return this.find(fingerprint, now);
  }

  /** Whether a request has crashed enough endpoints to be refused; it is remembered for longer if so. */
  shouldRefuse(fingerprint: string, now: number): boolean {
    const record = this.find(fingerprint, now);
    if (record === undefined || computeCrashWeight(record) < WEIGHT_TO_REFUSE) {
      return false;
    }
    this.records.set(fingerprint, { ...record, lastAt: now });
    return true;
  }

  /** Merges what another daemon knows; returns whether the request is to be refused from now on. */
  merge(record: CrashRecord, now: number): boolean {
    const { fingerprint } = record;
    const known = this.find(fingerprint, now);
    const merged = mergeCrashRecords(known ?? record, record);
    this.delete(fingerprint);
    if (isExpired(merged, now)) {
      return false;
    }
    this.records.set(fingerprint, merged);
    if (computeCrashWeight(merged) >= WEIGHT_TO_REFUSE) {
      this.crashing.add(fingerprint);
    }
    if (this.records.size > MAXIMUM_RECORDS) {
      this.delete(this.records.keys().next().value as string);
    }
    const weightBefore = known === undefined ? 0 : computeCrashWeight(known);
    return weightBefore < WEIGHT_TO_REFUSE && computeCrashWeight(merged) >= WEIGHT_TO_REFUSE;
  }

  /** Returns what is known of a request. */
  find(fingerprint: string, now: number): CrashRecord | undefined {
    const record = this.records.get(fingerprint);
    if (record !== undefined && isExpired(record, now)) {
      this.delete(fingerprint);
      return undefined;
    }
    return record;
  }

  /** Lists the requests that are refused, those changed last first. */
  listCrashing(now: number): CrashRecord[] {
    const records = [...this.crashing].map((fingerprint) => this.find(fingerprint, now));
    return records.filter((record) => record !== undefined).reverse();
  }

  private delete(fingerprint: string): void {
    this.records.delete(fingerprint);
    this.crashing.delete(fingerprint);
  }
}
