/**
 * Validates references, capacity and route overlaps of a configuration before a change is accepted.
 */
import type { ResultName } from '@dogwoodstall/results';
import type { Configuration } from './configuration.js';
import type { Route, Service } from './entities.js';

/** One problem that makes a configuration invalid. */
export interface ConfigurationProblem {
  readonly kind: Extract<
    ResultName,
    'ConfigurationReference' | 'ConfigurationFloor' | 'ConfigurationInvalid'
  >;
  /** Kind and name of the entity, `route/offers`. */
  readonly entity: string;
  readonly message: string;
}

function checkService(configuration: Configuration, service: Service): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  const entity = `service/${service.name}`;
  if (!configuration.organisations.has(service.organisation)) {
    const message = `organisation "${service.organisation}" does not exist`;
    problems.push({ kind: 'ConfigurationReference', entity, message });
  }
  let slots = 0;
  for (const server of configuration.getServers(service.name)) {
    slots += server.draining ? 0 : server.slots;
  }
  if (slots < service.contract.minimumSlots) {
    const message = `${slots} slots are configured, but the contract requires at least ${service.contract.minimumSlots}`;
    problems.push({ kind: 'ConfigurationFloor', entity, message });
  }
  return problems;
}

function findRouteOverlaps(routes: Iterable<Route>): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  const owners = new Map<string, string>();
  for (const route of routes) {
    const path = route.pathPrefix
      .split('/')
      .filter((segment) => segment !== '')
      .join('/');
    for (const method of route.methods) {
      const key = `${route.host} ${method} /${path}`;
      const owner = owners.get(key);
      if (owner !== undefined && owner !== route.name) {
        const message = `route "${owner}" already matches ${key}`;
        problems.push({ kind: 'ConfigurationInvalid', entity: `route/${route.name}`, message });
      }
      owners.set(key, route.name);
    }
  }
  return problems;
}

/** Returns all problems of a configuration; the list is empty if the configuration is valid. */
export function validateConfiguration(configuration: Configuration): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  for (const service of configuration.services.values()) {
    problems.push(...checkService(configuration, service));
  }
  for (const server of configuration.backendServers.values()) {
    const entity = `backendServer/${server.name}`;
    if (!configuration.services.has(server.service)) {
      const message = `service "${server.service}" does not exist`;
      problems.push({ kind: 'ConfigurationReference', entity, message });
    }
    if (!configuration.zones.has(server.zone)) {
      const message = `zone "${server.zone}" does not exist`;
      problems.push({ kind: 'ConfigurationReference', entity, message });
    }
  }
  for (const route of configuration.routes.values()) {
    if (!configuration.services.has(route.service)) {
      const message = `service "${route.service}" does not exist`;
      problems.push({ kind: 'ConfigurationReference', entity: `route/${route.name}`, message });
    }
  }
  problems.push(...findRouteOverlaps(configuration.routes.values()));
  return problems;
}
