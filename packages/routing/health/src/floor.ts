/**
 * The healthy-capacity floor, which limits how many endpoints of a cell are ejected at once.
 */
import * as results from '@dogwoodstall/results';
import type { EndpointRecord } from './endpoint-record.js';

/** Slots of a cell, and how many of them must stay selectable. Draining endpoints don't count. */
export interface FloorState {
  readonly totalSlots: number;
  readonly selectableSlots: number;
  readonly requiredSlots: number;
}

/** Computes the slots of the endpoints that are not draining, and the floor for them. */
export function computeFloorState(records: Iterable<EndpointRecord>, floor: number): FloorState {
  let totalSlots = 0;
  let selectableSlots = 0;
  for (const record of records) {
    if (!record.server.draining) {
      totalSlots += record.server.slots;
      selectableSlots += record.lifecycle.ejection?.enforced === true ? 0 : record.server.slots;
    }
  }
  // At least one slot stays in use, even if the contract sets no floor.
  const requiredSlots = Math.min(totalSlots, Math.max(1, Math.ceil(totalSlots * floor - 1e-9)));
  return { totalSlots, selectableSlots, requiredSlots };
}

function getSeverity(record: EndpointRecord): number {
  return record.lifecycle.ejection?.evidence.strength ?? 0;
}

/**
 * Decides which pending ejections are enforced: those with the strongest evidence first, as far as
 * the floor allows. The other endpoints stay in use.
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

/** Asserts that enough slots are selectable for the floor. */
export function assertFloor(records: Iterable<EndpointRecord>, floor: number): void {
  const state = computeFloorState(records, floor);
  results.checkInvariant(
    state.selectableSlots >= state.requiredSlots,
    'FloorViolated',
    () =>
      `${state.selectableSlots} of ${state.totalSlots} slots are selectable, the floor is ${state.requiredSlots}`,
  );
}
