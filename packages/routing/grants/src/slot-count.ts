/**
 * Counts the usable slots of a cell and derives the expected wait and the load from them.
 */
import type { EndpointState } from './endpoint-state.js';

/** Probability of a gray failure from which an endpoint's slots do not count; above it the endpoint is a suspect. */
export const SUSPECT_RISK = 0.5;
/** Load of a cell without usable slots. */
const FULL_LOAD = 2;

/** Total and free slots of usable endpoints. */
export interface SlotCount {
  readonly slots: number;
  readonly free: number;
}

/**
 * Counts the slots of endpoints that are reachable, not draining and not suspects. Of an endpoint that announces a limit,
 * only as many count as the limit can keep in use.
 */
export function countSlots(states: Iterable<EndpointState>, now: number): SlotCount {
  let slots = 0;
  let free = 0;
  for (const state of states) {
    if (!state.isDraining && !state.isInBackoff(now) && state.estimateRisk(now) < SUSPECT_RISK) {
      slots += state.usableSlots;
      free += Math.max(0, state.countFreeSlots(now));
    }
  }
  return { slots, free };
}

/** Estimates the milliseconds until the last of `waiting` requests gets a slot. */
export function estimateWait(
  { slots, free }: SlotCount,
  waiting: number,
  serviceMilliseconds: number,
): number {
  const excess = waiting - free;
  return excess <= 0 || slots === 0 ? 0 : (excess * serviceMilliseconds) / slots;
}

/** Returns the slots in use plus waiting requests, as a share of all slots. */
export function computeLoad({ slots, free }: SlotCount, waiting: number): number {
  return slots === 0 ? FULL_LOAD : (slots - free + waiting) / slots;
}
