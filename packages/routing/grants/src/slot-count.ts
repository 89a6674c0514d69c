/**
 * The slots of a cell that can be counted on, and what follows for requests that wait for one.
 */
import type { EndpointState } from './endpoint-state.js';

/** Above this risk an endpoint is a suspect, and its slots do not count. */
export const SUSPECT_RISK = 0.5;
/** Load of a cell without any slot. */
const FULL_LOAD = 2;

/** Slots of endpoints that may be trusted. */
export interface SlotCount {
  readonly slots: number;
  readonly free: number;
}

/** Counts the slots of endpoints that may be trusted. */
export function countSlots(states: Iterable<EndpointState>, now: number): SlotCount {
  let slots = 0;
  let free = 0;
  for (const state of states) {
    if (!state.endpoint.draining && !state.isPaused(now) && state.risk(now) < SUSPECT_RISK) {
      slots += state.endpoint.slots;
      free += Math.max(0, state.freeSlots(now));
    }
  }
  return { slots, free };
}

/** Returns the milliseconds until a slot is free for the last of `waiting` requests of a mean service time. */
export function estimateWait(
  { slots, free }: SlotCount,
  waiting: number,
  serviceMilliseconds: number,
): number {
  const excess = waiting - free;
  return excess <= 0 || slots === 0 ? 0 : (excess * serviceMilliseconds) / slots;
}

/** Returns used and wanted slots as a share of all. */
export function rateLoad({ slots, free }: SlotCount, waiting: number): number {
  return slots === 0 ? FULL_LOAD : (slots - free + waiting) / slots;
}
