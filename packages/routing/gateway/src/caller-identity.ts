/**
 * Identifies the organisation of a request by its token, and derives the priority of the request from it.
 */
import type { IncomingMessage } from 'node:http';
import * as results from '@dogwoodstall/results';
import type { Organisation, Route, RouteIndex } from '@dogwoodstall/traffic';
import type { RelayState } from './relay.js';
import type { WireProtocol } from './wire-protocol.js';

/** Priorities of routes are compared only between requests whose organisations have the same priority. */
const ORGANISATION_PRIORITY_FACTOR = 1000;

/** The caller of a request, as far as its token tells. */
export interface CallerIdentity {
  /** Name of its organisation; undefined if it needs none and has none. */
  readonly name: string | undefined;
  /** The organisation in the active configuration, which may lack the one that another daemon has identified. */
  readonly organisation: Organisation | undefined;
}

const anonymousCaller: CallerIdentity = { name: undefined, organisation: undefined };

/** Identifies the caller of a request; throws `OrganisationUnknown` if it needs a token and has no valid one. */
export function identifyCaller(
  request: IncomingMessage,
  routes: RouteIndex,
  route: Route,
  protocol: WireProtocol,
): CallerIdentity {
  const { organisations } = routes;
  if (organisations === undefined) {
    return anonymousCaller;
  }
  const token = protocol.readToken(request.headersDistinct);
  const organisation = token === undefined ? undefined : organisations.findByToken(token);
  if (organisation === undefined && route.anonymous !== true) {
    throw new results.FailureError('OrganisationUnknown');
  }
  return { name: organisation?.name, organisation };
}

/** Returns the caller of a request as the daemon identified it that relayed the request. */
export function readRelayedCaller(
  { organisation: name }: RelayState,
  routes: RouteIndex,
): CallerIdentity {
  return {
    name,
    organisation: name === undefined ? undefined : routes.organisations?.findByName(name),
  };
}

/** Combines the priority of the organisation, which goes first, with that of the route. */
export function computePriority(route: Route, { organisation }: CallerIdentity): number {
  return organisation?.priority === undefined
    ? route.priority
    : organisation.priority * ORGANISATION_PRIORITY_FACTOR + route.priority;
}
