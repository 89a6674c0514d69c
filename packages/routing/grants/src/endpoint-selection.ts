/**
 * Selects the endpoint of a request. Non-idempotent requests go to the endpoint with the lowest cost, which is mainly
 * the probability of a gray failure; idempotent requests also probe endpoints that have not been used recently.
 */
import type { EndpointState } from './endpoint-state.js';

/** The properties of a request that determine the selection. */
export interface SelectionRequest {
  readonly entry: string;
  readonly zone: string;
  readonly idempotent: boolean;
  /** Size of the body. */
  readonly kilobytes: number;
  readonly excluded: ReadonlySet<string>;
  /** Whether the request may probe endpoints of unknown health. */
  readonly mayProbe: boolean;
  /** Whether the least recently used endpoints are preferred, because many requests fail. */
  readonly shouldSpread: boolean;
}

/** Costs that are added to the probability of a failure. */
const OTHER_ZONE_COST = 0.01;
/** Traffic between zones is billed: sending 60 KB costs as much as a risk of 0.24. */
const OTHER_ZONE_COST_PER_KILOBYTE = 0.004;
/** Probes across zones are less frequent, because they cost more than probes in the entry's zone. */
const OTHER_ZONE_PROBE_WEIGHT = 0.6;
/** Probes that need a new connection are delayed, so that an entry with an open one can send them first. */
const NEW_CONNECTION_PROBE_WEIGHT = 0.5;
const NEW_CONNECTION_COST = 0.02;
const USED_SLOT_COST = 0.02;
const WARM_UP_COST = 0.08;

/** Time without grants after which an endpoint is due for a probe, by its risk. */
const LOW_RISK_PROBE_MILLISECONDS = 900;
const ELEVATED_RISK_PROBE_MILLISECONDS = 350;
const HIGH_RISK_PROBE_MILLISECONDS = 600;
const ELEVATED_RISK = 0.08;
const HIGH_RISK = 0.85;

/** Time without grants after which an endpoint is preferred while many requests fail. */
const SPREAD_MILLISECONDS = 1100;
/** Endpoints with at least this risk are not preferred for spreading. */
const SPREAD_MAXIMUM_RISK = 0.55;

/** An endpoint with its probability of a gray failure at the time of the selection. */
export interface Candidate {
  readonly state: EndpointState;
  readonly risk: number;
}

function getProbeInterval(risk: number): number {
  if (risk < ELEVATED_RISK) {
    return LOW_RISK_PROBE_MILLISECONDS;
  }
  return risk < HIGH_RISK ? ELEVATED_RISK_PROBE_MILLISECONDS : HIGH_RISK_PROBE_MILLISECONDS;
}

function findDueProbe(
  candidates: readonly Candidate[],
  { zone, entry }: SelectionRequest,
  now: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestOverdue = 1;
  for (const candidate of candidates) {
    const { state, risk } = candidate;
    const isEligible = state.attemptsInFlight.size === 0 || risk < ELEVATED_RISK;
    let weight = state.endpoint.zone === zone ? 1 : OTHER_ZONE_PROBE_WEIGHT;
    if (!state.paths.isConnected(entry, now)) {
      weight *= NEW_CONNECTION_PROBE_WEIGHT;
    }
    const overdue = (weight * (now - state.lastGrantAt)) / getProbeInterval(risk);
    if (isEligible && overdue > bestOverdue) {
      best = candidate;
      bestOverdue = overdue;
    }
  }
  return best;
}

function findLeastRecentlyUsed(
  candidates: readonly Candidate[],
  now: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let oldest = now - SPREAD_MILLISECONDS;
  for (const candidate of candidates) {
    if (candidate.risk < SPREAD_MAXIMUM_RISK && candidate.state.lastGrantAt < oldest) {
      best = candidate;
      oldest = candidate.state.lastGrantAt;
    }
  }
  return best;
}

function computeCost({ state, risk }: Candidate, request: SelectionRequest, now: number): number {
  let cost = risk + (USED_SLOT_COST * state.attemptsInFlight.size) / state.endpoint.slots;
  if (state.endpoint.zone !== request.zone) {
    cost += OTHER_ZONE_COST + OTHER_ZONE_COST_PER_KILOBYTE * request.kilobytes;
  }
  if (!state.paths.isConnected(request.entry, now)) {
    cost += NEW_CONNECTION_COST;
  }
  if (state.isWarmingUp(now)) {
    cost += WARM_UP_COST;
  }
  return cost;
}

/** Lists the endpoints that the request can be granted now. */
export function listCandidates(
  states: Iterable<EndpointState>,
  request: SelectionRequest,
  now: number,
): Candidate[] {
  const candidates: Candidate[] = [];
  for (const state of states) {
    if (
      state.isAvailable(now) &&
      !request.excluded.has(state.endpoint.id) &&
      !state.paths.isInBackoff(request.entry, now)
    ) {
      candidates.push({ state, risk: state.estimateRisk(now) });
    }
  }
  return candidates;
}

/**
 * Chooses a candidate: one that is due for a probe, else one for spreading, else the one with the lowest cost. Returns
 * undefined if there are no candidates.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  request: SelectionRequest,
  now: number,
): Candidate | undefined {
  const due = request.mayProbe ? findDueProbe(candidates, request, now) : undefined;
  const preferred =
    due ?? (request.shouldSpread ? findLeastRecentlyUsed(candidates, now) : undefined);
  if (preferred !== undefined) {
    return preferred;
  }
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = computeCost(candidate, request, now);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}
