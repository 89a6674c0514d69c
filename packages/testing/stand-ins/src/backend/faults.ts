/**
 * Faults of one backend server stand-in, set at run time.
 */
import * as zod from 'zod';

const share = zod.number().min(0).max(1).default(0);

export const backendFaultsSchema = zod.strictObject({
  /** Share of the real work that is answered with 500 while `/health` passes. */
  failShare: share,
  /** Requests below this path fail with 500. */
  failPathPrefix: zod.string().startsWith('/').optional(),
  slowFactor: zod.number().min(0).default(1),
  /** Work starts and does not end until the fault is removed. */
  stalled: zod.boolean().default(false),
  /** New connections are accepted and reset at once. */
  acceptAndReset: zod.boolean().default(false),
  /** Share of the answers that end in their middle. */
  cutShare: share,
  /** All faults hold only in the first half of each period; 0 means always. */
  flapPeriodMilliseconds: zod.number().min(0).default(0),
  /** Load reports show the load of this long ago. */
  reportLagMilliseconds: zod.number().min(0).default(0),
  /** Load reports show these numbers instead of the true load. */
  falseReport: zod
    .strictObject({ inFlight: zod.number().int().min(0), queued: zod.number().int().min(0) })
    .optional(),
  /** A request whose header `Crash-Marker` has this value crashes the server. */
  crashMarker: zod.string().min(1).default('crash'),
  /** Time for which the server refuses connections after a crash. */
  crashRefusalMilliseconds: zod.number().min(0).default(2000),
});

export type BackendFaults = zod.output<typeof backendFaultsSchema>;

const faultless = backendFaultsSchema.parse({});

/** Returns the faults that hold at a moment, with flapping taken into account. */
export function activeFaults(faults: BackendFaults, elapsedMilliseconds: number): BackendFaults {
  const period = faults.flapPeriodMilliseconds;
  if (period === 0 || elapsedMilliseconds % period < period / 2) {
    return faults;
  }
  return {
    ...faultless,
    crashMarker: faults.crashMarker,
    crashRefusalMilliseconds: faults.crashRefusalMilliseconds,
  };
}
