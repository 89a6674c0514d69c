/**
 * Authorisation: which entities a principal may read and write.
 */
import { isDeepStrictEqual } from 'node:util';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import type { Principal } from './principal.js';

/**
 * Returns the organisation that owns an entity; undefined for zones and entities that do not exist.
 */
export function findOwner(
  configuration: model.Configuration,
  kind: model.EntityKind,
  name: string,
): string | undefined {
  switch (kind) {
    case 'organisation':
      return configuration.organisations.get(name)?.name;
    case 'service':
      return configuration.services.get(name)?.organisation;
    case 'backendServer':
    case 'route': {
      const service = configuration.entities(kind).get(name)?.service;
      return service === undefined ? undefined : configuration.services.get(service)?.organisation;
    }
    default:
      return undefined;
  }
}

/**
 * Throws `AdministrationForbidden`. The default message is the same for a missing entity and for
 * one of another organisation, so that it does not reveal what exists outside the organisation.
 */
export function throwForbidden(
  message = 'the entity does not exist or is not under the authority of this token',
): never {
  throw new results.FailureError('AdministrationForbidden', message);
}

/** Throws `AdministrationForbidden` unless the principal is an operator. */
export function requireOperator(principal: Principal): void {
  if (principal.kind !== 'operator') {
    throwForbidden('only operators may do this');
  }
}

/** Returns whether a principal may read an entity. */
export function canRead(
  principal: Principal,
  configuration: model.Configuration,
  kind: model.EntityKind,
  name: string,
): boolean {
  return (
    principal.kind === 'operator' || findOwner(configuration, kind, name) === principal.organisation
  );
}

function sharesToken(configuration: model.Configuration, entity: model.Organisation): boolean {
  const digests = new Set([...entity.administratorTokenDigests, ...entity.callerTokenDigests]);
  for (const other of configuration.organisations.values()) {
    if (other.name !== entity.name) {
      const taken = [...other.administratorTokenDigests, ...other.callerTokenDigests];
      if (taken.some((digest) => digests.has(digest))) {
        return true;
      }
    }
  }
  return false;
}

function checkOrganisationUpdate(
  organisation: string,
  current: model.Configuration,
  entity: model.Organisation,
): void {
  const existing = current.organisations.get(entity.name);
  if (existing === undefined || entity.name !== organisation) {
    throwForbidden();
  }
  if (existing.weight !== entity.weight) {
    throwForbidden('only operators may change the weight of an organisation');
  }
  if (sharesToken(current, entity)) {
    throwForbidden('a token digest is not available to this organisation');
  }
}

// A token identifies one organisation. With a shared token, the requests of one organisation's
// callers would be counted as another's.
function assertUniqueTokens(
  next: model.Configuration,
  operations: readonly model.Operation[],
): void {
  for (const operation of operations) {
    const isOrganisation = operation.action === 'put' && operation.kind === 'organisation';
    if (isOrganisation && sharesToken(next, operation.entity)) {
      const message = `organisation/${operation.entity.name}: another organisation has the same token digest`;
      throw new results.FailureError('ConfigurationInvalid', message);
    }
  }
}

// The route that currently matches a path has the same or a shorter prefix. A new route below
// another organisation's prefix would take over part of that organisation's requests.
function checkRouteAvailable(
  organisation: string,
  current: model.Configuration,
  route: model.Route,
): void {
  for (const method of route.methods) {
    const taken = current.routeTable.find(route.host, route.pathPrefix, method);
    if (taken !== undefined && findOwner(current, 'route', taken.name) !== organisation) {
      throwForbidden('the host, path and method are not available to this organisation');
    }
  }
}

function checkPut(
  organisation: string,
  current: model.Configuration,
  next: model.Configuration,
  operation: Extract<model.Operation, { action: 'put' }>,
): void {
  switch (operation.kind) {
    case 'organisation':
      checkOrganisationUpdate(organisation, current, operation.entity);
      break;
    case 'service':
      if (operation.entity.organisation !== organisation) {
        throwForbidden();
      }
      break;
    case 'backendServer':
    case 'route':
      if (next.services.get(operation.entity.service)?.organisation !== organisation) {
        throwForbidden();
      }
      break;
    default:
      throwForbidden();
  }
  if (operation.kind === 'route') {
    checkRouteAvailable(organisation, current, operation.entity);
  }
}

// A generated plan includes its zones, which organisations can not change. An organisation may
// submit such a plan as long as its zones equal the current ones.
function isUnchangedZone(current: model.Configuration, operation: model.Operation): boolean {
  if (operation.action !== 'put' || operation.kind !== 'zone') {
    return false;
  }
  return isDeepStrictEqual(current.zones.get(operation.entity.name), operation.entity);
}

/**
 * Throws `AdministrationForbidden` when operations exceed the authority of a principal, and
 * `ConfigurationInvalid` when an operator assigns one token to two organisations.
 *
 * `next` is `current` with the operations applied.
 */
export function checkAuthority(
  principal: Principal,
  current: model.Configuration,
  next: model.Configuration,
  operations: readonly model.Operation[],
): void {
  if (principal.kind === 'operator') {
    assertUniqueTokens(next, operations);
    return;
  }
  const { organisation } = principal;
  for (const operation of operations) {
    const name = operation.action === 'put' ? operation.entity.name : operation.name;
    const isExisting = current.entities(operation.kind).has(name);
    if (isUnchangedZone(current, operation)) {
      continue;
    }
    const isOfOtherOrganisation = findOwner(current, operation.kind, name) !== organisation;
    if (isExisting && isOfOtherOrganisation) {
      throwForbidden();
    }
    if (operation.action === 'put') {
      checkPut(organisation, current, next, operation);
    } else if (!isExisting || operation.kind === 'organisation') {
      throwForbidden();
    }
  }
}
