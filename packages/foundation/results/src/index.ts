/**
 * Numbered result codes, failures and invariant assertions.
 */
export { type Execution, type ResultDefinition, defineResult } from './definition.js';
export { type ResultName, findResult, findResultName, resultTable } from './table.js';
export {
  type Failure,
  type FailureDetails,
  type FailureOptions,
  FailureError,
  createFailure,
  isFailure,
  toFailure,
} from './failure.js';
export { callWithTimeout } from './call-with-timeout.js';
export { rejectOnAbort } from './reject-on-abort.js';
export {
  type InvariantName,
  type ViolationListener,
  checkInvariant,
  getViolationCounts,
  setViolationListener,
  reportViolation,
} from './invariant.js';
