/**
 * What a dispatcher tells others about the endpoints of its cell, and takes over from them.
 */
import type { EndpointState } from './endpoint-state.js';
import { SUSPECT_RISK } from './slot-count.js';

/** An endpoint without requests, and what explains it. */
export interface UnusedEndpoint {
  readonly id: string;
  readonly risk: number;
  /** Attempts without a response yet. */
  readonly inFlight: number;
  /** Whether connections to it failed recently. */
  readonly inBackoff: boolean;
  /** Milliseconds since the last grant. */
  readonly idle: number;
}

type States = ReadonlyMap<string, EndpointState>;

/** Time without grants after which an endpoint is listed as unused. */
const UNUSED_MILLISECONDS = 1500;
/** Time without grants after which the risk of an endpoint is replaced by what another dispatcher reports. */
const IMPORT_AFTER_MILLISECONDS = 1000;
const IMPORTED_SUSPECT_RISK = 0.85;
const IMPORTED_TRUSTED_RISK = 0.1;

/** Lists the ids of endpoints that are unreachable or probably in a gray failure. */
export function listSuspects(states: States, now: number): string[] {
  const suspects: string[] = [];
  for (const [id, state] of states) {
    if (state.isInBackoff(now) || state.estimateRisk(now) > SUSPECT_RISK) {
      suspects.push(id);
    }
  }
  return suspects;
}

/** Lists the usable endpoints that were granted nothing for some time. */
export function listUnused(states: States, now: number): UnusedEndpoint[] {
  const unused: UnusedEndpoint[] = [];
  for (const [id, state] of states) {
    const idle = now - state.lastGrantAt;
    if (!state.isDraining && idle > UNUSED_MILLISECONDS) {
      const inFlight = state.attemptsInFlight.size;
      const inBackoff = state.isInBackoff(now);
      unused.push({ id, risk: state.estimateRisk(now), inFlight, inBackoff, idle });
    }
  }
  return unused;
}

/** Applies the suspects that another dispatcher reported to endpoints that this one has not used recently. */
export function importSuspects(states: States, suspects: ReadonlySet<string>, now: number): void {
  for (const [id, state] of states) {
    if (now - state.lastGrantAt > IMPORT_AFTER_MILLISECONDS) {
      state.importRisk(suspects.has(id) ? IMPORTED_SUSPECT_RISK : IMPORTED_TRUSTED_RISK, now);
    }
  }
}
