/**
 * The test for stalled endpoints: the ages of the requests in flight, before any of them times out.
 */
import type { EjectionEvidence } from './change.js';
import type { EndpointRecord, HealthAttempt } from './endpoint-record.js';
import type { LatencyHistogram } from './latency-histogram.js';
import { isMarked } from './samples.js';

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
const KNOWN_AGE_SHARE = 0.2;

/** Finds the service times behind an attempt. */
export type FindScale = (attempt: HealthAttempt) => LatencyHistogram | undefined;

interface PeerCounts {
  inFlight: number;
  old: number;
  ended: number;
  late: number;
}

function countPeer(
  peer: EndpointRecord,
  counts: PeerCounts,
  bornBefore: number,
  now: number,
): void {
  const sums = counts;
  for (const attempt of peer.inFlight) {
    sums.inFlight += 1;
    sums.old += attempt.startedAt <= bornBefore ? 1 : 0;
  }
  peer.samples.visitOlder(peer.samples.length, now - PEER_WINDOW_MILLISECONDS, ({ marks }) => {
    sums.ended += 1;
    sums.late += isMarked(marks) ? 1 : 0;
  });
}

// A stall of the whole service shows in requests in flight, and after their timeouts in outcomes.
function measureOldPeers(
  record: EndpointRecord,
  records: Iterable<EndpointRecord>,
  bornBefore: number,
  now: number,
): number {
  const counts: PeerCounts = { inFlight: 0, old: 0, ended: 0, late: 0 };
  for (const peer of records) {
    if (peer !== record && peer.life.condemnation === undefined) {
      countPeer(peer, counts, bornBefore, now);
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
  findScale: FindScale,
  now: number,
): EjectionEvidence | undefined {
  let sum = 0;
  let oldest: HealthAttempt | undefined;
  for (const attempt of record.inFlight) {
    const scale = findScale(attempt);
    const age = now - attempt.startedAt;
    sum += scale === undefined || age <= 0 ? 0 : -Math.log(scale.computeExceedance(age));
    oldest = oldest === undefined || attempt.startedAt < oldest.startedAt ? attempt : oldest;
  }
  const count = record.inFlight.size;
  if (oldest === undefined || sum <= count) {
    return undefined;
  }
  const age = now - oldest.startedAt;
  const observed = now - (findScale(oldest)?.observedSince ?? now);
  if (age < MINIMUM_STALL_MILLISECONDS || age > observed * KNOWN_AGE_SHARE) {
    return undefined;
  }
  if (measureOldPeers(record, records, now - age * PEER_AGE_SHARE, now) > MAXIMUM_OLD_PEER_SHARE) {
    return undefined;
  }
  const strength = sum - count - count * Math.log(sum / count);
  const routeName = count === 1 ? oldest.routeName : '*';
  return { reason: 'stalled', routeName, samples: count, observed: count, expected: 0, strength };
}
