/**
 * The choice of an endpoint. Work that must not repeat goes where the probability of a gray failure is lowest; work
 * that may repeat also tests endpoints about which little is known.
 */
import type { EndpointState } from './endpoint-state.js';

/** What matters of a request for the choice. */
export interface ChoiceRequest {
  readonly entry: string;
  readonly zone: string;
  readonly idempotent: boolean;
  /** Length of the body. */
  readonly kilobytes: number;
  readonly excluded: ReadonlySet<string>;
  /** Whether the request may test endpoints of unknown health. */
  readonly mayExplore: boolean;
  /** Whether endpoints that got nothing lately go first, because many requests fail. */
  readonly mustSpread: boolean;
}

/** Costs beside the probability of a failure, in the same unit. */
const OTHER_ZONE_COST = 0.01;
/** Bytes between zones are paid for: 60 KB weigh as much as a risk of 0.24. */
const OTHER_ZONE_COST_PER_KILOBYTE = 0.004;
/** Tests in another zone wait longer than those in the zone of the entry, which cost less. */
const OTHER_ZONE_TEST_WEIGHT = 0.6;
/** Tests that need a new connection wait longer for an entry that has one. */
const NEW_CONNECTION_TEST_WEIGHT = 0.5;
const NEW_CONNECTION_COST = 0.02;
const USED_SLOT_COST = 0.02;
const WARM_UP_COST = 0.08;
/** Time after which an entry's connection to an endpoint has probably been closed. */
const CONNECTION_KEPT_MILLISECONDS = 8000;

/** Without requests for this long, an endpoint is due for a test. */
const HEALTHY_TEST_MILLISECONDS = 900;
const SUSPECT_TEST_MILLISECONDS = 350;
const FAILING_TEST_MILLISECONDS = 600;
const SUSPECT_RISK = 0.08;
const FAILING_RISK = 0.85;

/** Without requests for this long, an endpoint goes first while many requests fail. */
const SPREAD_MILLISECONDS = 1100;
/** Endpoints above this risk are left out of the spreading. */
const SPREAD_MAXIMUM_RISK = 0.55;

/** An endpoint with its risk at the time of the choice. */
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
  { zone, entry }: ChoiceRequest,
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

function rateCost({ state, risk }: Candidate, request: ChoiceRequest, now: number): number {
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

/** Lists the endpoints that may get the request now. */
export function listCandidates(
  states: Iterable<EndpointState>,
  request: ChoiceRequest,
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

/** Chooses one of the candidates; undefined when there is none. */
export function chooseCandidate(
  candidates: readonly Candidate[],
  request: ChoiceRequest,
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
