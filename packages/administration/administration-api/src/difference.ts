/**
 * Differences between configurations, entity by entity.
 */
import { isDeepStrictEqual } from 'node:util';
import type * as model from '@dogwoodstall/model';

/** The kinds of entities, in an order in which references exist. */
export const entityKinds = ['zone', 'organisation', 'service', 'backendServer', 'route'] as const;

/** Names one entity. */
export interface EntityReference {
  readonly kind: model.EntityKind;
  readonly name: string;
}

/** One entity before and after; null where it does not exist. */
export interface EntityDifference extends EntityReference {
  readonly before: unknown;
  readonly after: unknown;
}

/** Returns the entity that an operation concerns. */
export function getReference(operation: model.Operation): EntityReference {
  const name = operation.action === 'put' ? operation.entity.name : operation.name;
  return { kind: operation.kind, name };
}

/** Returns a reference as written, `route/offers`. */
export function formatReference({ kind, name }: EntityReference): string {
  return `${kind}/${name}`;
}

/** Returns the entities that operations concern, each once. */
export function listReferences(operations: readonly model.Operation[]): EntityReference[] {
  const references = new Map<string, EntityReference>();
  for (const operation of operations) {
    const reference = getReference(operation);
    references.set(formatReference(reference), reference);
  }
  return [...references.values()];
}

/** Returns the named entities that differ between two configurations. */
export function compareEntities(
  before: model.Configuration,
  after: model.Configuration,
  references: Iterable<EntityReference>,
): EntityDifference[] {
  const differences: EntityDifference[] = [];
  for (const { kind, name } of references) {
    const old = before.entities(kind).get(name) ?? null;
    const fresh = after.entities(kind).get(name) ?? null;
    if (old !== fresh && !isDeepStrictEqual(old, fresh)) {
      differences.push({ kind, name, before: old, after: fresh });
    }
  }
  return differences;
}

/** Returns all entities that differ between two configurations. */
export function compareConfigurations(
  before: model.Configuration,
  after: model.Configuration,
): EntityDifference[] {
  const differences: EntityDifference[] = [];
  for (const kind of entityKinds) {
    const names = new Set([...before.entities(kind).keys(), ...after.entities(kind).keys()]);
    const references = [...names].map((name) => ({ kind, name }));
    differences.push(...compareEntities(before, after, references));
  }
  return differences;
}

/** Returns the operations that turn each `before` into its `after`. */
export function toOperations(differences: readonly EntityDifference[]): model.Operation[] {
  return differences.map(({ kind, name, after }) =>
    after === null
      ? { action: 'remove', kind, name }
      : ({ action: 'put', kind, entity: after } as model.Operation),
  );
}
