/**
 * Endpoints as listed in the directory.
 */
import * as z from 'zod';

/** An endpoint: one process of a service. */
export const endpointSchema = z.object({
  id: z.string(),
  service: z.string(),
  /** IP address and port, separated by a colon. */
  address: z.string(),
  zone: z.string(),
  /** Number of requests that the endpoint processes concurrently. */
  slots: z.number().int().positive(),
  /** Whether the endpoint accepts no new requests. */
  draining: z.boolean(),
  /** Remaining time for which the endpoint is slow after its start. */
  warmUpMilliseconds: z.number().nonnegative(),
  /** Start time in epoch milliseconds, which distinguishes processes with the same id; 0 if unknown. */
  lifetime: z.number(),
});

export type Endpoint = z.infer<typeof endpointSchema>;

/** Whether two entries of the same id describe the same process. */
export function isSameLifetime(left: Endpoint, right: Endpoint): boolean {
  return left.lifetime === right.lifetime && left.address === right.address;
}
