/**
 * Endpoints as the directory knows them.
 */
import * as z from 'zod';

/** An endpoint of a service. */
export const endpointSchema = z.object({
  id: z.string(),
  service: z.string(),
  /** `IP address:port`. */
  address: z.string(),
  zone: z.string(),
  /** Requests that the endpoint processes at a time. */
  slots: z.number().int().positive(),
  /** Whether the endpoint takes no new work. */
  draining: z.boolean(),
  /** How much longer the endpoint is slow after its start. */
  warmUpMilliseconds: z.number().nonnegative(),
  /** Tells the lifetimes of one id apart; epoch milliseconds of the start, 0 when unknown. */
  lifetime: z.number(),
});

export type Endpoint = z.infer<typeof endpointSchema>;

/** Whether two entries name the same process. */
export function isSameLifetime(left: Endpoint, right: Endpoint): boolean {
  return left.lifetime === right.lifetime && left.address === right.address;
}
