/**
 * Grants of endpoint slots.
 */
export {
  type Decision,
  type ServiceDispatcherOptions,
  ServiceDispatcher,
} from './service-dispatcher.js';
export { type SlotRequest } from './slot-request.js';
export { type FlightEnd } from './endpoint-state.js';
export { type RetryBudget } from './retry-allowance.js';
