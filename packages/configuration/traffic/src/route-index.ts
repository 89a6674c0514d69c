/**
 * Looks up the route of a request and chooses its destination.
 */
import type { Route, TrafficConfiguration } from './configuration.js';
import { OrganisationIndex } from './organisation.js';

/** Indexes the routes of a configuration by host; the longest matching prefix wins. */
export class RouteIndex {
  /** Names of the services that routes send requests to. */
  readonly services: ReadonlySet<string>;

  /** The organisations whose tokens callers need; undefined if they need none. */
  readonly organisations: OrganisationIndex | undefined;

  private readonly routesByHost = new Map<string, Route[]>();

  constructor(readonly configuration: TrafficConfiguration) {
    this.organisations =
      configuration.organisations && new OrganisationIndex(configuration.organisations);
    const services = new Set<string>();
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
      for (const { service } of route.destinations) {
        services.add(service);
      }
    }
    this.services = services;
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /** Returns the route of the host with the longest prefix that the path starts with. */
  find(host: string, path: string): Route | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.prefix));
  }
}

/** Chooses a service at random by weight; `fraction` is a random number from 0 (inclusive) to 1 (exclusive). */
export function chooseDestination(route: Route, fraction: number): string {
  let total = 0;
  for (const { weight } of route.destinations) {
    total += weight;
  }
  let remainder = fraction * total;
  for (const { service, weight } of route.destinations) {
    remainder -= weight;
    if (remainder < 0) {
      return service;
    }
  }
  return (route.destinations[0] as Route['destinations'][number]).service;
}
