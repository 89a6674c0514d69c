/**
 * Grants of endpoint slots.
 */
export {
  type Decision,
  type ServiceDispatcherOptions,
  type SlotRequest,
  ServiceDispatcher,
} from './service-dispatcher.js';
export { type FlightEnd } from './endpoint-state.js';
export { type RetryBudget } from './retry-allowance.js';
