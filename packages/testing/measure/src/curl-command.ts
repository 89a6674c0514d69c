/**
 * Formats curl commands for the routes of a local fleet.
 */
import { callerTokenOf } from './fleet/first-change.js';
import type { RouteDescription, ServiceDescription } from './fleet/topology.js';

const KEY_PATH = '/.well-known/dogwoodstall/idempotency-keys';

/**
 * Returns a command that sends one request to a route. For a route that is not idempotent, the command
 * fetches an idempotency key first.
 */
export function formatCurlCommand(
  callerAddress: string,
  service: ServiceDescription,
  route: RouteDescription,
): string {
  const token = `-H 'Dogwoodstall-Organisation-Token: ${callerTokenOf(service.organisation)}'`;
  const method = route.methods[0] ?? 'GET';
  const parts = ['curl -i', `-H 'Host: ${route.host}'`, token];
  if (method !== 'GET') {
    parts.push(`-X ${method} --data example`);
  }
  if (!route.idempotent) {
    const fetchKeyCommand = `curl -s -X POST ${token} 'http://${callerAddress}${KEY_PATH}?service=${service.name}'`;
    parts.push(`-H "Idempotency-Key: $(${fetchKeyCommand} | grep -o '[^"]*[.][^"]*')"`);
  }
  return [...parts, `http://${callerAddress}${route.pathPrefix}/1`].join(' ');
}
