/**
 * The healthy-capacity floor: which of the condemned endpoints may be ejected at the same time.
 */
import * as results from '@dogwoodstall/results';
import type { EndpointRecord } from './endpoint-record.js';

/** Slots of a cell and how many of them must stay selectable. */
export interface FloorState {
  readonly totalSlots: number;
  readonly selectableSlots: number;
  readonly requiredSlots: number;
}

/** Returns the slots of the endpoints that do not drain, and the floor over them. */
export function computeFloorState(records: Iterable<EndpointRecord>, floor: number): FloorState {
  let totalSlots = 0;
  let selectableSlots = 0;
  for (const record of records) {
    if (!record.server.draining) {
      totalSlots += record.server.slots;
      selectableSlots += record.lifecycle.ejection?.enforced === true ? 0 : record.server.slots;
    }
  }
  // At least one slot stays in use, even where the contract has no floor.
  const requiredSlots = Math.min(totalSlots, Math.max(1, Math.ceil(totalSlots * floor - 1e-9)));
  return { totalSlots, selectableSlots, requiredSlots };
}

function getSeverity(record: EndpointRecord): number {
  return record.lifecycle.ejection?.evidence.strength ?? 0;
}

/**
 * Decides for every condemned endpoint whether it is ejected: the worst first, as far as the floor
 * allows. The others stay in use.
 */
export function enforceEjections(records: readonly EndpointRecord[], floor: number): void {
  const pending = records.filter((record) => record.lifecycle.ejection !== undefined);
  for (const { lifecycle } of pending) {
    const { ejection } = lifecycle;
    if (ejection !== undefined) {
      ejection.enforced = false;
    }
  }
  const { selectableSlots, requiredSlots } = computeFloorState(records, floor);
  let spare = selectableSlots - requiredSlots;
  pending.sort((left, right) => getSeverity(right) - getSeverity(left));
  for (const { lifecycle, server } of pending) {
    const { ejection } = lifecycle;
    const slots = server.draining ? 0 : server.slots;
    if (ejection !== undefined && slots <= spare) {
      ejection.enforced = true;
      spare -= slots;
    }
  }
}

/** Asserts that the floor holds. */
export function assertFloor(records: Iterable<EndpointRecord>, floor: number): void {
  const state = computeFloorState(records, floor);
  results.checkInvariant(
    state.selectableSlots >= state.requiredSlots,
    'FloorViolated',
    () =>
      `${state.selectableSlots} of ${state.totalSlots} slots are selectable, the floor is ${state.requiredSlots}`,
  );
}
