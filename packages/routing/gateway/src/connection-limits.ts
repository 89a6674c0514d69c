/**
 * How many connections a daemon keeps open, derived from the descriptors that it may use for them.
 */

/** Limits of the connections to callers and endpoints together. */
export interface ConnectionLimits {
  /** Number above which idle connections are closed, those that have been idle longest first. */
  readonly target: number;
  /** Number above which requests are refused if no connection is idle. */
  readonly maximum: number;
  /** Caller connections accepted beyond the maximum, so that their requests are refused with a response. */
  readonly refusable: number;
  /** Maximum number of idle connections to all endpoints together. */
  readonly idleEndpointConnections: number;
}

const MAXIMUM_REFUSABLE = 64;
const REFUSABLE_SHARE = 0.1;
/** Room between target and maximum for connections that arrive before idle ones are closed. */
const MAXIMUM_ROOM = 256;
const ROOM_SHARE = 0.15;
const IDLE_ENDPOINT_SHARE = 0.25;

/** Divides the given number of descriptors; `Infinity` limits nothing. */
export function computeConnectionLimits(descriptors: number): ConnectionLimits {
  if (descriptors === Infinity) {
    return {
      target: Infinity,
      maximum: Infinity,
      refusable: 0,
      idleEndpointConnections: Infinity,
    };
  }
  const refusable = Math.floor(Math.min(MAXIMUM_REFUSABLE, descriptors * REFUSABLE_SHARE));
  const maximum = Math.floor(descriptors) - refusable;
  const room = Math.ceil(Math.min(MAXIMUM_ROOM, maximum * ROOM_SHARE));
  return {
    target: maximum - room,
    maximum,
    refusable,
    idleEndpointConnections: Math.floor(maximum * IDLE_ENDPOINT_SHARE),
  };
}

const SHORTAGE_CODES: ReadonlySet<unknown> = new Set(['EMFILE', 'ENFILE']);

/** Whether an error says that this process, or the machine, has no descriptors left. */
export function isDescriptorShortage(error: unknown): boolean {
  return error instanceof Error && 'code' in error && SHORTAGE_CODES.has(error.code);
}
