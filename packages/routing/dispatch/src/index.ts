/**
 * Dispatch cells: queue, slots, admission by deadline, fair shares.
 */
export type { DispatchRequest, SlotGrant } from './request.js';
