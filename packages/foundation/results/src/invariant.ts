/**
 * Assertions of the invariants of the system. A violation is counted and reported; randomised runs
 * stop the process at the first one.
 */
import { createFailure, type Failure, type FailureDetails } from './failure.js';
import type { invariantResults } from './codes/invariants.js';

/** The name of an invariant's result code. */
export type InvariantName = keyof typeof invariantResults;

/** Receives each violation. */
export type ViolationListener = (violation: Failure) => void;

const violationCounts = new Map<InvariantName, number>();
let listener: ViolationListener | undefined;

/** Sets the function that logs a violation or stops the process; one per process. */
export function setViolationListener(newListener: ViolationListener | undefined): void {
  listener = newListener;
}

/** Counts and reports a violation. */
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

/** Returns how often each invariant was violated in this process. */
export function getViolationCounts(): ReadonlyMap<InvariantName, number> {
  return violationCounts;
}
