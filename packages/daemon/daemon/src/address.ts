/**
 * Addresses in settings.
 */

/** The parts of `IP address:port`; the schema of the settings has checked the shape. */
export function parseAddress(address: string): { host: string; port: number } {
  const end = address.lastIndexOf(':');
  const host = address.slice(0, end).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(end + 1)) };
}
