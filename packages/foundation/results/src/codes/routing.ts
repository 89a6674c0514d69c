/**
 * Result codes 3000 to 3999: admission, dispatch and retries.
 */
import { defineResult } from '../definition.js';

export const routingResults = {
  DeadlineUnreachable: defineResult(
    3001,
    503,
    'not-run',
    'The request could not finish before its deadline and was refused at admission.',
  ),
  QueueFull: defineResult(3002, 503, 'not-run', 'The queue of the dispatch cell is full.'),
  DeadlineInQueue: defineResult(
    3003,
    504,
    'not-run',
    'The deadline passed while the request waited in the queue.',
  ),
  OrganisationRateExceeded: defineResult(
    3004,
    429,
    'not-run',
    'The organisation exceeded its request rate.',
  ),
  OrganisationConcurrencyExceeded: defineResult(
    3005,
    429,
    'not-run',
    'The organisation exceeded its concurrent requests.',
  ),
  NoEndpoint: defineResult(
    3006,
    503,
    'not-run',
    'The service has no endpoint that may receive the request.',
  ),
  CrashingRequest: defineResult(
    3007,
    422,
    'not-run',
    'The request crashed backend servers before and is refused.',
  ),
  RetryBudgetExhausted: defineResult(
    3008,
    503,
    'not-run',
    'The retry budget is used up; the last attempt was not run.',
  ),
  DispatcherUnreachable: defineResult(3009, 503, 'not-run', 'No dispatcher accepted the request.'),
  DispatcherLost: defineResult(
    3010,
    502,
    'not-known',
    'The dispatcher was lost after it accepted the request.',
  ),
  CallerCancelled: defineResult(
    3011,
    499,
    'not-known',
    'The caller closed the connection before the answer.',
  ),
  NotReady: defineResult(
    3012,
    503,
    'not-run',
    'The daemon has no configuration that may be in force, or is stopping.',
  ),
  ShedByPriority: defineResult(
    3013,
    503,
    'not-run',
    'The request was displaced from the queue by more important work.',
  ),
  CancelledInQueue: defineResult(
    3014,
    499,
    'not-run',
    'The caller closed the connection while the request waited in the queue.',
  ),
  CrashingRequestHeld: defineResult(
    3015,
    503,
    'not-run',
    'The request crashed several endpoints before and is held back.',
  ),
  DaemonMemoryFull: defineResult(
    3016,
    503,
    'not-run',
    'The daemon holds as many bytes of requests as its settings allow.',
  ),
} as const;
