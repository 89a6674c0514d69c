/**
 * The test for stalled endpoints: the ages of the requests in flight, before any of them times out.
 */
import type { EjectionEvidence } from './change.js';
import type { EndpointRecord, HealthAttempt } from './endpoint-record.js';
import type { LatencyHistogram } from './latency-histogram.js';
import { isAdverse } from './samples.js';

/**
 * A pause of the server's process, such as garbage collection, is no fault; younger requests are no
 * evidence.
 */
const MINIMUM_STALL_MILLISECONDS = 400;

/** Peers' requests older than this share of the age under test count as old too. */
const PEER_AGE_SHARE = 1 / 3;

/** With more old requests than this share among the peers', the service as a whole is slow. */
const MAXIMUM_OLD_PEER_SHARE = 0.3;

/** Peers' answers of this time are looked at besides their requests in flight. */
const PEER_WINDOW_MILLISECONDS = 2000;

/**
 * Service times are known up to this share of the time for which the route was observed: shortly
 * after the start, no long request can have ended yet.
 */
const RELIABLE_AGE_SHARE = 0.2;

/** Finds the service times behind an attempt. */
export type FindHistogram = (attempt: HealthAttempt) => LatencyHistogram | undefined;

interface PeerCounts {
  inFlight: number;
  old: number;
  ended: number;
  late: number;
}

function countPeer(
  peer: EndpointRecord,
  counts: PeerCounts,
  startedBefore: number,
  now: number,
): void {
  const sums = counts;
  for (const attempt of peer.inFlight) {
    sums.inFlight += 1;
    sums.old += attempt.startedAt <= startedBefore ? 1 : 0;
  }
  peer.samples.visitOlder(peer.samples.length, now - PEER_WINDOW_MILLISECONDS, ({ flags }) => {
    sums.ended += 1;
    sums.late += isAdverse(flags) ? 1 : 0;
  });
}

// A stall of the whole service shows in requests in flight, and after their timeouts in outcomes.
function computeOldPeerShare(
  record: EndpointRecord,
  records: Iterable<EndpointRecord>,
  startedBefore: number,
  now: number,
): number {
  const counts: PeerCounts = { inFlight: 0, old: 0, ended: 0, late: 0 };
  for (const peer of records) {
    if (peer !== record && peer.lifecycle.ejection === undefined) {
      countPeer(peer, counts, startedBefore, now);
    }
  }
  const oldShare = counts.old / Math.max(1, counts.inFlight);
  return Math.max(oldShare, counts.late / Math.max(1, counts.ended));
}

/**
 * Returns evidence when the requests in flight are older than chance explains.
 *
 * The logarithms of the probabilities of the ages add up; Chernoff's bound on a sum of exponential
 * variables gives the strength.
 */
export function findStall(
  record: EndpointRecord,
  records: Iterable<EndpointRecord>,
  findHistogram: FindHistogram,
  now: number,
): EjectionEvidence | undefined {
  let sum = 0;
  let oldest: HealthAttempt | undefined;
  for (const attempt of record.inFlight) {
    const histogram = findHistogram(attempt);
    const age = now - attempt.startedAt;
    sum += histogram === undefined || age <= 0 ? 0 : -Math.log(histogram.computeExceedance(age));
    oldest = oldest === undefined || attempt.startedAt < oldest.startedAt ? attempt : oldest;
  }
  const count = record.inFlight.size;
  if (oldest === undefined || sum <= count) {
    return undefined;
  }
  const age = now - oldest.startedAt;
  const observed = now - (findHistogram(oldest)?.observedSince ?? now);
  if (age < MINIMUM_STALL_MILLISECONDS || age > observed * RELIABLE_AGE_SHARE) {
    return undefined;
  }
  if (
    computeOldPeerShare(record, records, now - age * PEER_AGE_SHARE, now) > MAXIMUM_OLD_PEER_SHARE
  ) {
    return undefined;
  }
  const strength = sum - count - count * Math.log(sum / count);
  const routeName = count === 1 ? oldest.routeName : '*';
  return { reason: 'stalled', routeName, samples: count, observed: count, expected: 0, strength };
}
