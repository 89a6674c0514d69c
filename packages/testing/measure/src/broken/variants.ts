/**
 * Deliberately broken variants of the daemon, at least one for each invariant. A randomised run that does
 * not catch a variant would not catch the same defect in the product either.
 */
import { fileURLToPath } from 'node:url';
import * as results from '@dogwoodstall/results';
import type { InvariantName } from '../randomised/invariant-book.js';
import type { FaultKind, FaultSchedule } from '../randomised/schedule.js';

/** One broken variant. */
export interface BrokenVariant {
  readonly name: string;
  /** Invariant whose checks must detect the defect. */
  readonly invariant: InvariantName;
  /** Description of the defect. */
  readonly summary: string;
  /** Faults that expose the defect in a run of a few seconds. */
  readonly schedule: FaultSchedule;
  /** Arguments of Node.js that start a broken daemon. */
  readonly daemonCommand: readonly string[];
}

const FAULT_AT_MILLISECONDS = 1000;
const FAULT_MILLISECONDS = 4000;

const program = fileURLToPath(new URL('./daemon.js', import.meta.url));

function createFaults(fault: FaultKind, targets: readonly string[]): FaultSchedule {
  return targets.map((target) => ({
    at: FAULT_AT_MILLISECONDS,
    fault,
    target,
    durationMilliseconds: FAULT_MILLISECONDS,
  }));
}

function createVariant(
  name: string,
  invariant: InvariantName,
  summary: string,
  schedule: FaultSchedule = [],
): BrokenVariant {
  return { name, invariant, summary, schedule, daemonCommand: [program, name] };
}

const servers = ['avaliacao-1', 'avaliacao-2', 'avaliacao-3', 'avaliacao-4'];

/** Every broken variant. */
export const brokenVariants: readonly BrokenVariant[] = [
  createVariant(
    'floor-ignored',
    'floor',
    'every endpoint that returns an error is ejected, regardless of the floor',
    createFaults('gray-errors', servers),
  ),
  createVariant('answer-cut', 'answers', 'some responses lose their second half'),
  createVariant('answer-swapped', 'answers', 'some responses carry the content of another one'),
  createVariant(
    'not-run-told-falsely',
    'not-run',
    '"not run" is reported where the outcome is not known',
    createFaults('gray-stall', servers),
  ),
  createVariant('second-execution', 'at-most-once', 'a resend is executed again'),
  createVariant(
    'work-after-drain',
    'drain',
    'the drain signal of a backend server is ignored',
    createFaults('drain', ['avaliacao-1']),
  ),
  createVariant(
    'upload-cut-at-stop',
    'planned-stop',
    'a graceful shutdown closes every connection immediately',
    createFaults('planned-stop', ['recife-a-daemon-1']),
  ),
  createVariant(
    'revision-lowered',
    'configuration',
    'the configuration reverts to an earlier revision for a second',
  ),
];

/** Returns the variant with a name; throws `MeasurementUnknown` if there is none. */
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
