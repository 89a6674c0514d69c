/**
 * Endpoint health of one cell: collects evidence from attempts, ejects outliers within the
 * healthy-capacity floor, and returns ejected endpoints to service gradually.
 */
import type { BackendServer, Contract, SizeClass } from '@dogwoodstall/model';
import type * as most from 'most';
import type { EjectionEvidence, EndpointHealthSnapshot, HealthChange } from './change.js';
import { ChangeFeed } from './change-feed.js';
import { lostEvidence } from './endpoint-lifecycle.js';
import { EndpointRecord, type HealthAttempt } from './endpoint-record.js';
import { OutcomeClassifier } from './outcome-classifier.js';
import { assertFloor, enforceEjections } from './floor.js';
import type { AttemptOutcome } from './outcome.js';
import { findOutliers } from './outlier-detection.js';

/** The settings of a service contract that endpoint health applies. */
export type HealthContract = Pick<Contract, 'healthyCapacityFloor' | 'coldStartMilliseconds'>;

/** Options of `CellHealth`. */
export interface CellHealthOptions {
  readonly servers: readonly BackendServer[];
  readonly contract: HealthContract;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Random number from 0 to below 1. */
  readonly random: () => number;
  /** Writes a change to the decision log. */
  readonly logDecision?: (change: HealthChange) => void;
}

/** Context of an attempt that is about to be sent. */
export interface AttemptStart {
  readonly routeName: string;
  readonly organisation: string;
  readonly sizeClass: SizeClass;
}

/** Shortest interval between two evaluations. */
const EVALUATION_MILLISECONDS = 50;

/** Tracks the health of the endpoints of one cell. */
export class CellHealth {
  private readonly options: CellHealthOptions;

  private readonly records = new Map<string, EndpointRecord>();

  private readonly classifier: OutcomeClassifier;

  private readonly feed = new ChangeFeed<HealthChange>();

  private contract: HealthContract;

  private evaluatedAt = -Infinity;

  /** Emits each health change as it happens. */
  readonly changes: most.Stream<HealthChange> = this.feed.stream;

  constructor(options: CellHealthOptions) {
    this.options = options;
    this.contract = options.contract;
    this.classifier = new OutcomeClassifier();
    for (const server of options.servers) {
      this.records.set(server.name, new EndpointRecord(server, options.now(), false));
    }
  }

  /**
   * Applies a new configuration. An endpoint that is new, or has a new address, begins with a cold
   * start.
   */
  updateEndpoints(servers: readonly BackendServer[], contract = this.contract): void {
    this.contract = contract;
    const names = new Set(servers.map((server) => server.name));
    for (const name of this.records.keys()) {
      if (!names.has(name)) {
        this.records.delete(name);
      }
    }
    for (const server of servers) {
      const record = this.records.get(server.name);
      if (record === undefined || record.server.address !== server.address) {
        this.records.set(server.name, new EndpointRecord(server, this.options.now(), true));
      } else {
        record.server = server;
      }
    }
    this.applyFloor();
  }

  /** Excludes a draining endpoint from the capacity on which the floor is computed. */
  markDraining(endpointName: string, draining = true): void {
    const record = this.records.get(endpointName);
    if (record !== undefined && record.server.draining !== draining) {
      record.server = { ...record.server, draining };
      this.applyFloor();
    }
  }

  /** Records the start of an attempt. */
  startAttempt(endpointName: string, start: AttemptStart): HealthAttempt {
    const attempt = this.classifier.createAttempt(endpointName, start, this.options.now());
    this.records.get(endpointName)?.inFlight.add(attempt);
    return attempt;
  }

  /** Records the outcome of an attempt that `startAttempt` returned. */
  finishAttempt(attempt: HealthAttempt, outcome: AttemptOutcome): void {
    const record = this.records.get(attempt.endpointName);
    if (record?.inFlight.delete(attempt) === true) {
      this.addOutcome(record, attempt, outcome);
    }
  }

  /** Records the outcome of an attempt that was not started with `startAttempt`. */
  recordOutcome(
    endpointName: string,
    outcome: AttemptOutcome,
    sizeClass: SizeClass = 'short',
  ): void {
    const record = this.records.get(endpointName);
    if (record !== undefined) {
      const start = { ...outcome, sizeClass };
      const startedAt = this.options.now() - outcome.milliseconds;
      this.addOutcome(
        record,
        this.classifier.createAttempt(endpointName, start, startedAt),
        outcome,
      );
    }
  }

  /**
   * Records the result of an active health check. Repeated failures lower the evidence that is
   * required to eject; a success doesn't offset evidence from real requests.
   */
  recordProbe(endpointName: string, passed: boolean): void {
    const record = this.records.get(endpointName);
    if (record !== undefined) {
      record.failedProbes = passed ? 0 : record.failedProbes + 1;
    }
  }

  /**
   * Ejects a server whose process is gone until it responds again. This doesn't lengthen later
   * ejections.
   */
  markLost(endpointName: string): void {
    const record = this.records.get(endpointName);
    if (record !== undefined && record.lifecycle.ejection?.evidence.reason !== 'lost') {
      this.startEjection(record, lostEvidence);
      this.applyFloor();
    }
  }

  /** Runs outlier detection if it is due, and returns the resulting changes. */
  evaluate(): HealthChange[] {
    const now = this.options.now();
    if (now - this.evaluatedAt < EVALUATION_MILLISECONDS) {
      return [];
    }
    this.evaluatedAt = now;
    const changes: HealthChange[] = [];
    for (const record of this.records.values()) {
      const change = this.advance(record, now);
      if (change !== undefined) {
        changes.push(change);
      }
    }
    const found = findOutliers([...this.records.values()], this.classifier, now);
    for (const [record, evidence] of found) {
      this.startEjection(record, evidence);
    }
    changes.forEach((change) => this.publish(change));
    if (changes.length > 0 || found.size > 0) {
      changes.push(...this.applyFloor());
    }
    return changes;
  }

  /** Returns the share of its slots that an endpoint may use, from 0 (ejected) to 1. */
  admissionWeight(endpointName: string, now = this.options.now()): number {
    const record = this.records.get(endpointName);
    return record?.lifecycle.computeWeight(now, this.contract.coldStartMilliseconds) ?? 0;
  }

  /** Returns whether an endpoint would be ejected if the floor didn't keep it in use. */
  isKeptByFloor(endpointName: string): boolean {
    return this.records.get(endpointName)?.lifecycle.condition === 'kept-by-floor';
  }

  /** Returns the health of every endpoint for status output. */
  snapshot(): EndpointHealthSnapshot[] {
    const list: EndpointHealthSnapshot[] = [];
    for (const [name, record] of this.records) {
      list.push({
        name,
        condition: record.lifecycle.condition,
        weight: this.admissionWeight(name),
        ejections: record.lifecycle.ejections,
        ejectedUntil: record.lifecycle.ejection?.until,
        evidence: record.lifecycle.ejection?.evidence,
        inFlight: record.inFlight.size,
        failedProbes: record.failedProbes,
      });
    }
    return list;
  }

  private addOutcome(
    record: EndpointRecord,
    attempt: HealthAttempt,
    outcome: AttemptOutcome,
  ): void {
    const now = this.options.now();
    if (outcome.reportedLoad !== undefined) {
      record.recordLoad(outcome.reportedLoad);
    }
    const sample = this.classifier.classifyOutcome(record, attempt, outcome, now);
    if (sample === undefined) {
      return;
    }
    record.addSample(sample);
    const failure = record.lifecycle.countTrialOutcome(sample, outcome, now);
    if (failure !== undefined) {
      this.startEjection(record, failure);
      this.applyFloor();
    }
  }

  private advance(record: EndpointRecord, now: number): HealthChange | undefined {
    const change = record.lifecycle.advance(now, this.contract.coldStartMilliseconds);
    if (change?.kind === 'trial') {
      record.clearEvidence();
    }
    return change;
  }

  private startEjection(record: EndpointRecord, evidence: EjectionEvidence): void {
    record.lifecycle.startEjection(evidence, this.options.now(), this.options.random());
    record.clearEvidence();
  }

  private applyFloor(): HealthChange[] {
    const records = [...this.records.values()];
    enforceEjections(records, this.contract.healthyCapacityFloor);
    assertFloor(records, this.contract.healthyCapacityFloor);
    const changes: HealthChange[] = [];
    for (const record of records) {
      const change = record.lifecycle.applyEjection(this.options.now());
      if (change !== undefined) {
        changes.push(change);
        this.publish(change);
      }
    }
    return changes;
  }

  private publish(change: HealthChange): void {
    this.options.logDecision?.(change);
    this.feed.publish(change);
  }
}
