/**
 * Outlier detection: runs the statistical tests on the endpoints of a cell and selects outliers.
 */
import type { EjectionEvidence } from './change.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { OutcomeClassifier } from './outcome-classifier.js';
import { type Evidence, findEvidence, StratumCounts } from './peer-comparison.js';
import { isAdverse } from './samples.js';
import { findStall } from './stall-detection.js';

/** Time windows in which endpoints are compared, in ascending order. */
const WINDOWS_MILLISECONDS = [500, 750, 1000, 1500, 2000, 4000, 8000] as const;

/**
 * Strength required to eject, which is a false-positive probability of 1e-10 per comparison in a
 * window. The README derives the rate of false ejections from it.
 */
const REQUIRED_STRENGTH = 23;

/**
 * Strength required to eject a slow endpoint, a false-positive probability of 4e-8. It is lower,
 * because an endpoint that is ten times slower finishes few requests in a second, and each is one
 * sample only.
 */
const REQUIRED_SLOW_STRENGTH = 17;

/** Strength required for a stall, which is tested per request instead of per comparison. */
const REQUIRED_STALL_STRENGTH = 16;

/** An endpoint that is returning from an ejection is ejected again on weaker evidence. */
const RECOVERING_FACTOR = 0.4;

/** Failed health checks or a long queue of its own lower the evidence that is required to eject. */
const SUPPORTED_FACTOR = 0.7;
const SUPPORTING_PROBES = 3;
const SUPPORTING_QUEUE_RATIO = 4;

/** Suspicion from which an endpoint is compared with its peers. */
const MINIMUM_SUSPICION = 3;

/** With more outliers than this share of the endpoints, the service as a whole is degraded. */
const MAXIMUM_OUTLIER_SHARE = 0.5;

interface WindowCounts {
  readonly record: EndpointRecord;
  readonly own: StratumCounts;
  position: number;
}

function hasLongQueue(record: EndpointRecord, records: readonly EndpointRecord[]): boolean {
  const queues = records.map((peer) => peer.reportedLoad?.queued ?? 0).sort((a, b) => a - b);
  const median = queues[Math.floor(queues.length / 2)] ?? 0;
  return (record.reportedLoad?.queued ?? 0) > SUPPORTING_QUEUE_RATIO * (median + 1);
}

function computeStrengthFactor(record: EndpointRecord, records: readonly EndpointRecord[]): number {
  const supported = record.failedProbes >= SUPPORTING_PROBES || hasLongQueue(record, records);
  return (record.isRecovering ? RECOVERING_FACTOR : 1) * (supported ? SUPPORTED_FACTOR : 1);
}

function getRequiredStrength(evidence: Evidence): number {
  return evidence.kind === 'slow' ? REQUIRED_SLOW_STRENGTH : REQUIRED_STRENGTH;
}

// Counts late requests in flight as slow before they end.
function countLateRequests(
  counts: WindowCounts,
  all: StratumCounts,
  classifier: OutcomeClassifier,
  now: number,
): void {
  const { record } = counts;
  if (record.lifecycle.condition === 'cold-start') {
    return;
  }
  for (const attempt of record.inFlight) {
    const flags = classifier.classifyTime(record, attempt, now - attempt.startedAt);
    if (isAdverse(flags)) {
      const { routeName, stratum } = attempt;
      const time = classifier.computeRelativeTime(attempt, now - attempt.startedAt);
      const sample = { at: now, routeName, stratum, flags, time };
      counts.own.add(sample);
      all.add(sample);
    }
  }
}

function isSuspicious(record: EndpointRecord, classifier: OutcomeClassifier, now: number): boolean {
  let { suspicion } = record;
  for (const attempt of record.inFlight) {
    suspicion += isAdverse(classifier.classifyTime(record, attempt, now - attempt.startedAt))
      ? 1
      : 0;
  }
  return suspicion >= MINIMUM_SUSPICION;
}

function searchWindows(
  records: readonly EndpointRecord[],
  classifier: OutcomeClassifier,
  now: number,
  found: Map<EndpointRecord, EjectionEvidence>,
): void {
  const all = new StratumCounts();
  const suspects = new Set(records.filter((record) => isSuspicious(record, classifier, now)));
  if (suspects.size === 0) {
    return;
  }
  const windows: WindowCounts[] = [];
  for (const record of records) {
    const counts = { record, own: new StratumCounts(), position: record.samples.length };
    countLateRequests(counts, all, classifier, now);
    windows.push(counts);
  }
  for (const milliseconds of WINDOWS_MILLISECONDS) {
    for (const counts of windows) {
      counts.position = counts.record.samples.visitOlder(
        counts.position,
        now - milliseconds,
        (sample) => {
          counts.own.add(sample);
          all.add(sample);
        },
      );
    }
    for (const { record, own } of windows) {
      if (!suspects.has(record) || found.has(record)) {
        continue;
      }
      const evidence = findEvidence(own, all);
      if (
        evidence !== undefined &&
        evidence.strength >= getRequiredStrength(evidence) * computeStrengthFactor(record, records)
      ) {
        const { kind, ...details } = evidence;
        found.set(record, { reason: kind, ...details });
      }
    }
  }
}

/** Returns the outliers with the evidence for each; none if the service as a whole is degraded. */
export function findOutliers(
  records: readonly EndpointRecord[],
  classifier: OutcomeClassifier,
  now: number,
): Map<EndpointRecord, EjectionEvidence> {
  const candidates = records.filter((record) => record.lifecycle.ejection === undefined);
  const found = new Map<EndpointRecord, EjectionEvidence>();
  for (const record of candidates) {
    const stall =
      record.lifecycle.condition === 'cold-start'
        ? undefined
        : findStall(record, candidates, (attempt) => classifier.findHistogram(attempt), now);
    if (
      stall !== undefined &&
      stall.strength >= REQUIRED_STALL_STRENGTH * computeStrengthFactor(record, records)
    ) {
      found.set(record, stall);
    }
  }
  searchWindows(candidates, classifier, now, found);
  return found.size > candidates.length * MAXIMUM_OUTLIER_SHARE ? new Map() : found;
}
