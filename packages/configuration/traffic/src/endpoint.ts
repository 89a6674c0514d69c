/**
 * Endpoints as listed in the directory.
 */
import * as net from 'node:net';
import * as z from 'zod';

const MAXIMUM_PORT = 65_535;
/** More than any process can serve at a time. */
const MAXIMUM_SLOTS = 100_000;
/** A day; an endpoint that is slow for longer is not warming up. */
const MAXIMUM_WARM_UP_MILLISECONDS = 86_400_000;
/** Ids are sent as the value of a header. */
const ID_PATTERN = /^[\x21-\x7e]{1,255}$/;

function isAddress(text: string): boolean {
  const separator = text.lastIndexOf(':');
  const port = text.slice(separator + 1);
  return (
    net.isIPv4(text.slice(0, Math.max(0, separator))) &&
    /^[1-9]\d{0,4}$/.test(port) &&
    Number(port) <= MAXIMUM_PORT
  );
}

/** An endpoint: one process of a service. */
export const endpointSchema = z.object({
  id: z.string().regex(ID_PATTERN),
  service: z.string(),
  /** IP address and port, separated by a colon. */
  address: z.string().refine(isAddress, 'expected IP address:port'),
  zone: z.string(),
  /** Number of requests that the endpoint processes concurrently. */
  slots: z.number().int().positive().max(MAXIMUM_SLOTS),
  /** Whether the endpoint accepts no new requests. */
  draining: z.boolean(),
  /** Remaining time for which the endpoint is slow after its start. */
  warmUpMilliseconds: z.number().nonnegative().max(MAXIMUM_WARM_UP_MILLISECONDS),
  /** Start time in epoch milliseconds, which distinguishes processes with the same id; 0 if unknown. */
  lifetime: z.number(),
});

export type Endpoint = z.infer<typeof endpointSchema>;

/** Whether two entries of the same id describe the same process. */
export function isSameLifetime(left: Endpoint, right: Endpoint): boolean {
  return left.lifetime === right.lifetime && left.address === right.address;
}
