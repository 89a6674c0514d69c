/**
 * Checks of the system's invariants. Violations are counted and passed to a listener, which stops the process in
 * randomised test runs.
 */
import { createFailure, type Failure, type FailureDetails } from './failure.js';
import type { invariantResults } from './codes/invariants.js';

/** Name of an invariant; also the name of its result code. */
export type InvariantName = keyof typeof invariantResults;

/** Receives each violation. */
export type ViolationListener = (violation: Failure) => void;

const violationCounts = new Map<InvariantName, number>();
let listener: ViolationListener | undefined;

/** Sets the function that receives violations, or removes it; there is one for the process. */
export function setViolationListener(newListener: ViolationListener | undefined): void {
  listener = newListener;
}

/** Counts a violation and passes it to the listener. */
export function reportViolation(
  name: InvariantName,
  message: string,
  details?: FailureDetails,
): void {
  violationCounts.set(name, (violationCounts.get(name) ?? 0) + 1);
  listener?.(createFailure(name, message, details));
}

/** Reports a violation unless the condition holds; returns the condition. */
export function checkInvariant(
  condition: boolean,
  name: InvariantName,
  describe: () => string,
): boolean {
  if (!condition) {
    reportViolation(name, describe());
  }
  return condition;
}

/** Returns the number of violations of each invariant in this process. */
export function getViolationCounts(): ReadonlyMap<InvariantName, number> {
  return violationCounts;
}
