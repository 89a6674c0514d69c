/**
 * Differences between configurations, entity by entity.
 */
import { isDeepStrictEqual } from 'node:util';
import type * as model from '@dogwoodstall/model';

/** The kinds of entities, ordered so that each refers only to kinds before it. */
export const entityKinds = ['zone', 'organisation', 'service', 'backendServer', 'route'] as const;

/** Identifies one entity by kind and name. */
export interface EntityReference {
  readonly kind: model.EntityKind;
  readonly name: string;
}

/** One entity before and after a change; null where it does not exist. */
export interface EntityDifference extends EntityReference {
  readonly before: unknown;
  readonly after: unknown;
}

/** Returns the entity that an operation puts or removes. */
export function getReference(operation: model.Operation): EntityReference {
  const name = operation.action === 'put' ? operation.entity.name : operation.name;
  return { kind: operation.kind, name };
}

/** Returns a reference as text, such as `route/offers`. */
export function formatReference({ kind, name }: EntityReference): string {
  return `${kind}/${name}`;
}

/** Returns the entities that operations put or remove, without duplicates. */
export function listReferences(operations: readonly model.Operation[]): EntityReference[] {
  const references = new Map<string, EntityReference>();
  for (const operation of operations) {
    const reference = getReference(operation);
    references.set(formatReference(reference), reference);
  }
  return [...references.values()];
}

/** Returns the differences of the given entities between two configurations. */
export function compareEntities(
  before: model.Configuration,
  after: model.Configuration,
  references: Iterable<EntityReference>,
): EntityDifference[] {
  const differences: EntityDifference[] = [];
  for (const { kind, name } of references) {
    const oldEntity = before.entities(kind).get(name) ?? null;
    const newEntity = after.entities(kind).get(name) ?? null;
    if (oldEntity !== newEntity && !isDeepStrictEqual(oldEntity, newEntity)) {
      differences.push({ kind, name, before: oldEntity, after: newEntity });
    }
  }
  return differences;
}

/** Returns the differences of all entities between two configurations. */
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
