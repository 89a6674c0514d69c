/**
 * Derives the contract of a service from the questionnaire answers, with a reason for each value.
 */
import type * as model from '@dogwoodstall/model';
import type { ServiceAnswers } from './answers.js';
import type { ServiceLoad } from './load.js';

const MINIMUM_FLOOR = 0.3;
const MAXIMUM_FLOOR = 0.9;
// Traffic fluctuates around the averages that a team can state.
const PEAK_HEADROOM = 1.1;
const LONG_HEADROOM = 1.25;
const MINIMUM_LONG_SHARE = 0.1;
const MAXIMUM_LONG_SHARE = 0.5;
const MAXIMUM_LONG_SHARE_OF_LONG_SERVICE = 0.9;
// A service with a larger share of long requests has the size class `long`.
const LONG_SERVICE_SHARE = 0.5;
const MINIMUM_RETRY_BUDGET = 0.05;
const MAXIMUM_RETRY_BUDGET = 0.2;
const MINIMUM_QUEUE = 10;
const MAXIMUM_QUEUE = 100_000;
const MAXIMUM_KEY_LIFETIME_MILLISECONDS = 86_400_000;
const MILLISECONDS_PER_MINUTE = 60_000;
const MILLISECONDS_PER_SECOND = 1000;
const BYTES_PER_KILOBYTE = 1024;

type Cost = ServiceAnswers['tolerances']['lostRequestCost'];

const priorityByCost: Readonly<Record<Cost, number>> = { high: 0, low: 1, none: 2 };
const attemptsByCost: Readonly<Record<Cost, number>> = { high: 3, low: 2, none: 1 };

/** A generated value and the reason for it. */
export interface DerivedValue {
  readonly value: string | number | boolean;
  readonly reason: string;
}

/** The generated fields of a contract. */
export type DerivedContract = Partial<Record<keyof model.Contract, DerivedValue>>;

function clamp(value: number, lowest: number, highest: number): number {
  return Math.min(Math.max(value, lowest), highest);
}

function roundUpShare(value: number): number {
  return Math.ceil(Number((value * 100).toFixed(6))) / 100;
}

function roundDownShare(value: number): number {
  return Math.floor(Number((value * 100).toFixed(6))) / 100;
}

function formatPercent(value: number): string {
  return `${Math.round(value * 100)}%`;
}

/** Derives the deadline in the fleet from the time that callers wait, minus the network round trip. */
export function deriveDeadline(service: ServiceAnswers, waitMilliseconds: number): DerivedValue {
  const networkMilliseconds = Math.ceil(2 * service.tolerances.callerLatencyMilliseconds);
  return {
    value: waitMilliseconds - networkMilliseconds,
    reason: `callers wait ${waitMilliseconds} ms, of which the network round trip to the fleet takes ${networkMilliseconds} ms`,
  };
}

function deriveCapacityFloor(load: ServiceLoad): DerivedValue {
  const peakShare = load.peakSlots / load.slots;
  // At least one endpoint must remain ejectable; otherwise a faulty one keeps its share of the traffic.
  const highest = Math.min(
    MAXIMUM_FLOOR,
    roundDownShare(1 - load.largestServerSlots / load.smallestRegionSlots),
  );
  const value = Math.max(
    0,
    Math.min(highest, Math.max(MINIMUM_FLOOR, roundUpShare(peakShare * PEAK_HEADROOM))),
  );
  const demand = `the peak needs ${load.peakSlots.toFixed(1)} of ${load.slots} slots`;
  const reason =
    value === highest
      ? `${demand}; the floor is limited to ${formatPercent(value)} so that at least one endpoint can be ejected`
      : `${demand}; the floor covers them with 10% headroom, ejection may remove the rest`;
  return { value, reason };
}

function deriveLongShare(service: ServiceAnswers, load: ServiceLoad): DerivedValue {
  const { longShare } = service.requests;
  if (longShare === 0) {
    return { value: MINIMUM_LONG_SHARE, reason: 'no long requests are expected' };
  }
  const isLongService = longShare > LONG_SERVICE_SHARE;
  const highest = isLongService ? MAXIMUM_LONG_SHARE_OF_LONG_SERVICE : MAXIMUM_LONG_SHARE;
  const needed = roundUpShare((load.longPeakSlots / load.slots) * LONG_HEADROOM);
  const value = clamp(needed, MINIMUM_LONG_SHARE, highest);
  return {
    value,
    reason: `${formatPercent(longShare)} of the requests are long and need ${load.longPeakSlots.toFixed(1)} of ${load.slots} slots at the peak; the other ${formatPercent(1 - value)} of the slots are reserved for short requests`,
  };
}

function deriveQueueLimit(load: ServiceLoad, deadlineMilliseconds: number): DerivedValue {
  const waitMilliseconds = Math.max(0, deadlineMilliseconds - load.serviceMilliseconds);
  const servedRequests = (load.smallestRegionSlots * waitMilliseconds) / load.serviceMilliseconds;
  const value = clamp(Math.floor(servedRequests), MINIMUM_QUEUE, MAXIMUM_QUEUE);
  return {
    value,
    reason: `${load.smallestRegionSlots} slots at ${load.serviceMilliseconds.toFixed(1)} ms a request serve about ${value} requests within the deadline; further queued requests would miss it`,
  };
}

function deriveRetryBudget(load: ServiceLoad): DerivedValue {
  const spare = Math.max(0, 1 - load.peakSlots / load.slots);
  const value = clamp(roundDownShare(spare / 2), MINIMUM_RETRY_BUDGET, MAXIMUM_RETRY_BUDGET);
  return {
    value,
    reason: `${formatPercent(spare)} of the slots are unused at the peak; retries may use half of them, within the range ${MINIMUM_RETRY_BUDGET} to ${MAXIMUM_RETRY_BUDGET}`,
  };
}

function deriveKeyLifetime(service: ServiceAnswers, deadlineMilliseconds: number): DerivedValue {
  const { resendWithinMinutes } = service.tolerances;
  const requestedMilliseconds = Math.round(resendWithinMinutes * MILLISECONDS_PER_MINUTE);
  const value = clamp(
    requestedMilliseconds,
    2 * deadlineMilliseconds,
    MAXIMUM_KEY_LIFETIME_MILLISECONDS,
  );
  return {
    value,
    reason: `callers may resend for ${resendWithinMinutes} minutes; the lifetime of a key is at least twice the deadline`,
  };
}

function deriveOrganisationLimits(
  service: ServiceAnswers,
  load: ServiceLoad,
  queueLimit: number,
): DerivedContract {
  const { largestOrganisationShare: share, peakRequestsPerSecond: peak } = service.traffic;
  if (share === undefined) {
    return {};
  }
  const percent = formatPercent(share);
  return {
    organisationRatePerSecond: {
      value: Math.max(1, Math.ceil(peak * share)),
      reason: `one organisation may have ${percent} of the peak of ${peak} requests/s`,
    },
    organisationConcurrency: {
      value: Math.max(1, Math.ceil((load.slots + queueLimit) * share)),
      reason: `one organisation may hold ${percent} of the ${load.slots} slots and of the ${queueLimit} queue entries`,
    },
  };
}

function deriveCostFields(service: ServiceAnswers): DerivedContract {
  const { lostRequestCost: cost } = service.tolerances;
  return {
    priority: {
      value: priorityByCost[cost],
      reason: `the cost of a lost request is "${cost}" (0 is the highest priority)`,
    },
    maximumAttempts: {
      value: attemptsByCost[cost],
      reason: `the cost of a lost request is "${cost}"; only idempotent requests are retried`,
    },
  };
}

/** Derives the contract of a service from its answers and its load. */
export function deriveContract(service: ServiceAnswers, load: ServiceLoad): DerivedContract {
  const { requests, tolerances } = service;
  const deadline = deriveDeadline(service, tolerances.callerWaitMilliseconds);
  const queue = deriveQueueLimit(load, Number(deadline.value));
  const isLong = requests.longShare > LONG_SERVICE_SHARE;
  return {
    deadlineMilliseconds: deadline,
    healthyCapacityFloor: deriveCapacityFloor(load),
    minimumSlots: {
      value: Math.ceil(load.meanSlots),
      reason: `the mean traffic needs ${load.meanSlots.toFixed(1)} slots; a change that leaves fewer is rejected`,
    },
    ...deriveCostFields(service),
    sizeClass: {
      value: isLong ? 'long' : 'short',
      reason: `${formatPercent(requests.longShare)} of the requests are long`,
    },
    longSlotShare: deriveLongShare(service, load),
    retryBudget: deriveRetryBudget(load),
    queueLimit: queue,
    ...deriveOrganisationLimits(service, load, Number(queue.value)),
    organisationRequired: {
      value: tolerances.callersHaveTokens,
      reason: `the answer to "callers have tokens" is ${tolerances.callersHaveTokens ? 'yes' : 'no'}`,
    },
    coldStartMilliseconds: {
      value: Math.round(tolerances.coldStartSeconds * MILLISECONDS_PER_SECOND),
      reason: `a newly started backend server is slower for ${tolerances.coldStartSeconds} s`,
    },
    keyLifetimeMilliseconds: deriveKeyLifetime(service, Number(deadline.value)),
    recordedAnswerBytes: {
      value: Math.round(requests.largestAnswerKilobytes * BYTES_PER_KILOBYTE),
      reason: `the largest response that must be available to a resend has ${requests.largestAnswerKilobytes} KiB`,
    },
  };
}
