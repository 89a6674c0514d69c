/**
 * Result codes 4000 to 4999: at-most-once execution.
 */
import { defineResult } from '../definition.js';

export const idempotencyResults = {
  KeyRequired: defineResult(
    4001,
    428,
    'not-run',
    'The route needs an idempotency key issued by the fleet; the answer carries a fresh one.',
  ),
  KeyInvalid: defineResult(
    4002,
    400,
    'not-run',
    'The idempotency key is malformed or its signature does not match.',
  ),
  KeyForeign: defineResult(
    4003,
    403,
    'not-run',
    'The idempotency key belongs to another organisation or service.',
  ),
  KeyExpired: defineResult(
    4004,
    409,
    'not-known',
    'The lifetime of the idempotency key has passed; earlier attempts are not known.',
  ),
  KeyHomeLost: defineResult(
    4005,
    409,
    'not-known',
    'The daemon that held the record of this key is lost; this attempt was not run, earlier ones are not known.',
  ),
  OutcomeNotKnown: defineResult(
    4006,
    502,
    'not-known',
    'The request may have run; its outcome is not known and it is never repeated.',
  ),
  KeyReused: defineResult(
    4007,
    422,
    'not-applicable',
    'The idempotency key was used before with another request.',
  ),
  AnswerNotKept: defineResult(
    4008,
    409,
    'ran',
    'The request ran; its answer was too large or too old to be kept.',
  ),
  KeyHomeUnreachable: defineResult(
    4009,
    503,
    'not-run',
    'The home of the key could not be reached; this attempt was not run.',
  ),
  KeyHomeMoving: defineResult(
    4010,
    503,
    'not-run',
    'The records of this key are being handed over; this attempt was not run.',
  ),
  StillRunning: defineResult(
    4011,
    409,
    'not-known',
    'An earlier attempt under this key is still running.',
  ),
  KeyRecordsFull: defineResult(
    4012,
    503,
    'not-run',
    'The home of the key holds as many records as it may; new keys are refused until records expire.',
  ),
  HandoverStale: defineResult(
    4013,
    409,
    'not-applicable',
    'A message of a hand-over does not fit the state of its receiver.',
  ),
} as const;
