/**
 * Deliberately broken variants of the daemon, one or more for each invariant. A randomised run that
 * does not catch a variant would not catch the same defect in the product either.
 */
import { fileURLToPath } from 'node:url';
import * as results from '@dogwoodstall/results';
import type { InvariantName } from '../randomised/invariant-book.js';
import type { FaultKind, FaultSchedule } from '../randomised/schedule.js';

/** One variant. */
export interface BrokenVariant {
  readonly name: string;
  /** The invariant whose checks must find it. */
  readonly invariant: InvariantName;
  /** What is broken. */
  readonly summary: string;
  /** Faults under which the defect shows, in a run of a few seconds. */
  readonly schedule: FaultSchedule;
  /** Arguments of Node.js that start a broken daemon. */
  readonly daemonCommand: readonly string[];
}

const FAULT_AT_MILLISECONDS = 1000;
const FAULT_MILLISECONDS = 4000;

const program = fileURLToPath(new URL('./daemon.js', import.meta.url));

function describeFaults(fault: FaultKind, targets: readonly string[]): FaultSchedule {
  return targets.map((target) => ({
    at: FAULT_AT_MILLISECONDS,
    fault,
    target,
    durationMilliseconds: FAULT_MILLISECONDS,
  }));
}

function describeVariant(
  name: string,
  invariant: InvariantName,
  summary: string,
  schedule: FaultSchedule = [],
): BrokenVariant {
  return { name, invariant, summary, schedule, daemonCommand: [program, name] };
}

const servers = ['avaliacao-1', 'avaliacao-2', 'avaliacao-3', 'avaliacao-4'];

/** Every variant. */
export const brokenVariants: readonly BrokenVariant[] = [
  describeVariant(
    'floor-ignored',
    'floor',
    'each endpoint with an error is ejected, whatever the floor',
    describeFaults('gray-errors', servers),
  ),
  describeVariant('answer-cut', 'answers', 'some answers lose their second half'),
  describeVariant('answer-swapped', 'answers', 'some answers carry the content of another one'),
  describeVariant(
    'not-run-told-falsely',
    'not-run',
    'a caller is told "not run" where nothing is known',
    describeFaults('gray-stall', servers),
  ),
  describeVariant('second-execution', 'at-most-once', 'a resend is executed again'),
  describeVariant(
    'work-after-drain',
    'drain',
    'the statement of a draining backend server is not heard',
    describeFaults('drain', ['avaliacao-1']),
  ),
  describeVariant(
    'upload-cut-at-stop',
    'planned-stop',
    'a planned stop closes every connection at once',
    describeFaults('planned-stop', ['recife-a-daemon-1']),
  ),
  describeVariant(
    'revision-lowered',
    'configuration',
    'the configuration returns to an earlier revision for a second',
  ),
];

/** Finds a variant; throws `MeasurementUnknown`. */
export function findBrokenVariant(name: string): BrokenVariant {
  const variant = brokenVariants.find((candidate) => candidate.name === name);
  if (variant === undefined) {
    const names = brokenVariants.map((candidate) => candidate.name).join(', ');
    throw new results.FailureError(
      'MeasurementUnknown',
      `no broken variant "${name}"; there are ${names}`,
    );
  }
  return variant;
}
