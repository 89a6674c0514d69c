/**
 * Result codes 8000 to 8999: the platform's key-value service and its list of VMs.
 */
import { defineResult } from '../definition.js';

export const storeResults = {
  StoreUnavailable: defineResult(
    8001,
    503,
    'not-applicable',
    'The key-value service could not be reached.',
  ),
  StoreTimeout: defineResult(
    8002,
    504,
    'not-applicable',
    'The key-value service did not answer in time; a write may have taken effect.',
  ),
  StoreRejected: defineResult(
    8003,
    502,
    'not-applicable',
    'The key-value service rejected the call.',
  ),
  StoreValueInvalid: defineResult(
    8004,
    502,
    'not-applicable',
    'A value in the key-value service does not fit its schema.',
  ),
  MachineListUnavailable: defineResult(
    8005,
    503,
    'not-applicable',
    'The list of VMs could not be read.',
  ),
  StoreHistoryLost: defineResult(
    8006,
    503,
    'not-applicable',
    'The key-value service no longer knows the changes after the wanted revision.',
  ),
  StoreConditionFailed: defineResult(
    8007,
    503,
    'not-applicable',
    'The condition of a write to the key-value service does not hold.',
  ),
} as const;
