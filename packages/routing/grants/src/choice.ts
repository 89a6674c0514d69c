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
  readonly mayExplore: boolean;
  /** Whether the least recently used endpoints are preferred, because many requests fail. */
  readonly mustSpread: boolean;
}

/** Costs that are added to the probability of a failure. */
const OTHER_ZONE_COST = 0.01;
/** Traffic between zones is billed: sending 60 KB costs as much as a risk of 0.24. */
const OTHER_ZONE_COST_PER_KILOBYTE = 0.004;
/** Probes across zones are less frequent, because they cost more than probes in the entry's zone. */
const OTHER_ZONE_TEST_WEIGHT = 0.6;
/** Probes that need a new connection are delayed, so that an entry with an open one can send them first. */
const NEW_CONNECTION_TEST_WEIGHT = 0.5;
const NEW_CONNECTION_COST = 0.02;
const USED_SLOT_COST = 0.02;
const WARM_UP_COST = 0.08;
/** Idle time after which an entry's connection to an endpoint has probably been closed. */
const CONNECTION_KEPT_MILLISECONDS = 8000;

/** Time without grants after which an endpoint is due for a probe, by its risk. */
const HEALTHY_TEST_MILLISECONDS = 900;
const SUSPECT_TEST_MILLISECONDS = 350;
const FAILING_TEST_MILLISECONDS = 600;
const SUSPECT_RISK = 0.08;
const FAILING_RISK = 0.85;

/** Time without grants after which an endpoint is preferred while many requests fail. */
const SPREAD_MILLISECONDS = 1100;
/** Endpoints with at least this risk are not preferred for spreading. */
const SPREAD_MAXIMUM_RISK = 0.55;

/** An endpoint with its probability of a gray failure at the time of the selection. */
export interface Candidate {
  readonly state: EndpointState;
  readonly risk: number;
}

function testInterval(risk: number): number {
  if (risk < SUSPECT_RISK) {
    return HEALTHY_TEST_MILLISECONDS;
  }
  return risk < FAILING_RISK ? SUSPECT_TEST_MILLISECONDS : FAILING_TEST_MILLISECONDS;
}

function isConnected(state: EndpointState, entry: string, now: number): boolean {
  const lastUse = state.usedByEntry.get(entry) ?? -Infinity;
  return now - lastUse < CONNECTION_KEPT_MILLISECONDS;
}

function findDueTest(
  candidates: readonly Candidate[],
  { zone, entry }: SelectionRequest,
  now: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestOverdue = 1;
  for (const candidate of candidates) {
    const { state, risk } = candidate;
    const untested = state.flights.size === 0 || risk < SUSPECT_RISK;
    let weight = state.endpoint.zone === zone ? 1 : OTHER_ZONE_TEST_WEIGHT;
    if (!isConnected(state, entry, now)) {
      weight *= NEW_CONNECTION_TEST_WEIGHT;
    }
    const overdue = (weight * (now - state.lastGrantAt)) / testInterval(risk);
    if (untested && overdue > bestOverdue) {
      best = candidate;
      bestOverdue = overdue;
    }
  }
  return best;
}

function findLeastRecent(candidates: readonly Candidate[], now: number): Candidate | undefined {
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

function rateCost({ state, risk }: Candidate, request: SelectionRequest, now: number): number {
  let cost = risk + (USED_SLOT_COST * state.flights.size) / state.endpoint.slots;
  if (state.endpoint.zone !== request.zone) {
    cost += OTHER_ZONE_COST + OTHER_ZONE_COST_PER_KILOBYTE * request.kilobytes;
  }
  if (!isConnected(state, request.entry, now)) {
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
    if (!request.excluded.has(state.endpoint.id) && state.isOpen(now)) {
      candidates.push({ state, risk: state.risk(now) });
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
  const due = request.mayExplore ? findDueTest(candidates, request, now) : undefined;
  const spread = due ?? (request.mustSpread ? findLeastRecent(candidates, now) : undefined);
  if (spread !== undefined) {
    return spread;
  }
  let best: Candidate | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = rateCost(candidate, request, now);
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}
