/**
 * Result codes 9000 to 9999: invariant violations and unexpected errors. Each indicates a bug in the program.
 */
import { defineResult } from '../definition.js';

export const invariantResults = {
  FloorViolated: defineResult(
    9001,
    500,
    'not-applicable',
    'Ejection reduced the healthy capacity of a service below its floor.',
  ),
  AnswerMixedUp: defineResult(
    9002,
    500,
    'not-known',
    'An answer was about to reach another caller, or to look complete although it was cut.',
  ),
  ExecutedAfterNotRun: defineResult(
    9003,
    500,
    'not-known',
    'A request was run after its caller was told that it was not run.',
  ),
  ExecutedTwice: defineResult(
    9004,
    500,
    'not-known',
    'A non-idempotent request was about to run a second time.',
  ),
  WorkAfterDrain: defineResult(
    9005,
    500,
    'not-applicable',
    'A leaving backend server received new work.',
  ),
  RequestCutByStop: defineResult(9006, 500, 'not-known', 'A planned stop cut off a request.'),
  RevisionReverted: defineResult(
    9007,
    500,
    'not-applicable',
    'The configuration revision of a daemon decreased.',
  ),
  SlotsOverrun: defineResult(
    9008,
    500,
    'not-applicable',
    'A dispatcher granted more slots than an endpoint has.',
  ),
  InternalError: defineResult(
    9100,
    500,
    'not-known',
    'An unexpected error; the log line with the request id has the details.',
  ),
} as const;
