/**
 * Dispatches the requests of a cell to endpoint slots, with deadline-based admission control and
 * fair queueing.
 */
export type { DispatchRequest, SlotGrant } from './request.js';
export type { DispatchDecision, RefusalResult } from './decision.js';
export type { CellDispatcherOptions, Schedule } from './options.js';
export type { CellSnapshot, EndpointSnapshot } from './snapshot.js';
export { CellDispatcher } from './cell-dispatcher.js';
export { type DispatcherRegistryOptions, DispatcherRegistry } from './registry.js';
