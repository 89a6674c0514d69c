/**
 * Faults of one backend server stand-in. They can be changed at run time.
 */
import * as zod from 'zod';

const share = zod.number().min(0).max(1).default(0);

/** Faults as the control address accepts them; the defaults mean that no fault is active. */
export const backendFaultsSchema = zod.strictObject({
  /** Share of requests that fail with 500 while `/health` still responds with 200. */
  failShare: share,
  /** Requests whose path starts with this prefix fail with 500. */
  failPathPrefix: zod.string().startsWith('/').optional(),
  slowFactor: zod.number().min(0).default(1),
  /** Executions start but do not finish until the fault is removed. */
  stalled: zod.boolean().default(false),
  /** New connections are accepted and then reset immediately. */
  acceptAndReset: zod.boolean().default(false),
  /** Share of the responses whose connection is closed halfway through the body. */
  cutShare: share,
  /** All faults are active only in the first half of each period; 0 means always. */
  flapPeriodMilliseconds: zod.number().min(0).default(0),
  /** Load reports show the load as it was this many milliseconds ago. */
  reportLagMilliseconds: zod.number().min(0).default(0),
  /** Load reports show these numbers instead of the actual load. */
  falseReport: zod
    .strictObject({ inFlight: zod.number().int().min(0), queued: zod.number().int().min(0) })
    .optional(),
  /** A request whose header `Crash-Marker` has this value crashes the server. */
  crashMarker: zod.string().min(1).default('crash'),
  /** Time for which the server refuses connections after a crash. */
  crashRefusalMilliseconds: zod.number().min(0).default(2000),
});

/** Complete set of faults of one backend server stand-in. */
export type BackendFaults = zod.output<typeof backendFaultsSchema>;

const noFaults = backendFaultsSchema.parse({});

/** Returns the faults that are active at a given time, with flapping taken into account. */
export function activeFaults(faults: BackendFaults, elapsedMilliseconds: number): BackendFaults {
  const period = faults.flapPeriodMilliseconds;
  if (period === 0 || elapsedMilliseconds % period < period / 2) {
    return faults;
  }
  return {
    ...noFaults,
    crashMarker: faults.crashMarker,
    crashRefusalMilliseconds: faults.crashRefusalMilliseconds,
  };
}
