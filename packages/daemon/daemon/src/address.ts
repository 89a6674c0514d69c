/**
 * Parsing of addresses from settings.
 */

/** Splits `IP address:port` into host and port; the settings schema has validated the format. */
export function parseAddress(address: string): { host: string; port: number } {
  const end = address.lastIndexOf(':');
  const host = address.slice(0, end).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(end + 1)) };
}
