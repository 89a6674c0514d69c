/**
 * Detects stalled endpoints by the ages of their requests in flight, before any of them times out.
 */
import type { EjectionEvidence } from './change.js';
import type { EndpointRecord, HealthAttempt } from './endpoint-record.js';
import type { LatencyHistogram } from './latency-histogram.js';
import { isAdverse } from './samples.js';

/**
 * Lowest age of the oldest request that is evidence. A shorter stall can be a pause of the server's
 * process, such as garbage collection, which is no fault.
 */
const MINIMUM_STALL_MILLISECONDS = 400;

/** Share of the endpoint's oldest age from which a peer's request counts as old. */
const PEER_AGE_SHARE = 1 / 3;

/** With a larger share of old requests among the peers, the service as a whole is slow. */
const MAXIMUM_OLD_PEER_SHARE = 0.3;

/** Period for which the peers' outcomes are counted in addition to their requests in flight. */
const PEER_WINDOW_MILLISECONDS = 2000;

/**
 * Longest age that is evaluated, as a share of the time for which the route has been observed.
 * Shortly after the start, no long request can have ended yet, so long service times aren't known.
 */
const RELIABLE_AGE_SHARE = 0.2;

/** Returns the histogram of the service times of an attempt's route. */
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

// A stall of the whole service appears in requests in flight and, after timeouts, in outcomes.
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
 * Returns evidence if the requests in flight are older than chance explains.
 *
 * The strength is the Chernoff bound for a sum of exponential variables, the negative logarithms of
 * the probabilities of the ages.
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
