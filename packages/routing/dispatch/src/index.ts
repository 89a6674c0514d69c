/**
 * Dispatch cells: queue, slots, admission by deadline, fair shares.
 */
export type { DispatchRequest, SlotGrant } from './request.js';
export type { DispatchDecision, RefusalResult } from './decision.js';
export type { CellDispatcherOptions, Schedule } from './options.js';
export type { CellSnapshot, EndpointSnapshot } from './snapshot.js';
export { CellDispatcher } from './cell-dispatcher.js';
export { type DispatcherRegistryOptions, DispatcherRegistry } from './registry.js';
