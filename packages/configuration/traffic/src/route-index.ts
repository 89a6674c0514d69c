/**
 * Look-up of routes and the choice of a destination.
 */
import type { Route, TrafficConfiguration } from './configuration.js';

/** The routes of one configuration by host, longest prefix first. */
export class RouteIndex {
  /** Names of the services that routes send requests to. */
  readonly services: ReadonlySet<string>;

  private readonly routesByHost = new Map<string, Route[]>();

  constructor(readonly configuration: TrafficConfiguration) {
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

  /** Returns the route of the host whose prefix is the longest that begins the path. */
  find(host: string, path: string): Route | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.prefix));
  }
}

/** Chooses the service of a request; `fraction` is a random number from 0 to below 1. */
export function chooseDestination(route: Route, fraction: number): string {
  let total = 0;
  for (const { weight } of route.destinations) {
    total += weight;
  }
  let rest = fraction * total;
  for (const { service, weight } of route.destinations) {
    rest -= weight;
    if (rest < 0) {
      return service;
    }
  }
  return (route.destinations[0] as Route['destinations'][number]).service;
}
