/**
 * Computes the slots that a service has and the slots that its traffic needs.
 */
import type { Answers, ServiceAnswers } from './answers.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Available and needed slots of a service, and the capacity of its smallest region. */
export interface ServiceLoad {
  readonly slots: number;
  /** Mean time that a request occupies a slot, including long requests. */
  readonly serviceMilliseconds: number;
  /** Mean number of slots in use at the mean traffic. */
  readonly meanSlots: number;
  /** Slots needed at the peak; may exceed `slots`. */
  readonly peakSlots: number;
  /** Slots that long requests need at the peak. */
  readonly longPeakSlots: number;
  /** Slots of the region with the fewest slots. */
  readonly smallestRegionSlots: number;
  /** Slots of the largest backend server in that region. */
  readonly largestServerSlots: number;
}

function sumSlotsByRegion(
  answers: Answers,
  service: ServiceAnswers,
): Map<string, { slots: number; largest: number }> {
  const regions = new Map(answers.zones.map((zone) => [zone.name, zone.region]));
  const sums = new Map<string, { slots: number; largest: number }>();
  for (const group of service.serverGroups) {
    const region = regions.get(group.zone) ?? group.zone;
    const sum = sums.get(region) ?? { slots: 0, largest: 0 };
    sum.slots += group.slots * group.addresses.length;
    sum.largest = Math.max(sum.largest, group.slots);
    sums.set(region, sum);
  }
  return sums;
}

/** Returns the mean time that a request of a service occupies a slot. */
function computeMeanServiceMilliseconds({ requests }: ServiceAnswers): number {
  const long = requests.longMilliseconds ?? requests.typicalMilliseconds;
  return (1 - requests.longShare) * requests.typicalMilliseconds + requests.longShare * long;
}

/** Computes the load of a service from its traffic and its backend servers. */
export function computeLoad(answers: Answers, service: ServiceAnswers): ServiceLoad {
  const { traffic, requests } = service;
  const serviceMilliseconds = computeMeanServiceMilliseconds(service);
  const toSlots = (requestsPerSecond: number, milliseconds: number): number =>
    (requestsPerSecond * milliseconds) / MILLISECONDS_PER_SECOND;
  let slots = 0;
  let smallest = { slots: Number.POSITIVE_INFINITY, largest: 0 };
  for (const region of sumSlotsByRegion(answers, service).values()) {
    slots += region.slots;
    smallest = region.slots < smallest.slots ? region : smallest;
  }
  return {
    slots,
    serviceMilliseconds,
    meanSlots: toSlots(traffic.meanRequestsPerSecond, serviceMilliseconds),
    peakSlots: toSlots(traffic.peakRequestsPerSecond, serviceMilliseconds),
    longPeakSlots: toSlots(
      traffic.peakRequestsPerSecond * requests.longShare,
      requests.longMilliseconds ?? 0,
    ),
    smallestRegionSlots: smallest.slots,
    largestServerSlots: smallest.largest,
  };
}
