/**
 * Checks of a draft before it is committed.
 */
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { ResponseError } from './response-error.js';
import { checkAuthority, canRead, throwForbidden } from './authority.js';
import {
  compareConfigurations,
  formatReference,
  getReference,
  toOperations,
  type EntityReference,
} from './difference.js';
import type { Principal } from './principal.js';

const MAXIMUM_AUTHOR_LENGTH = 200;

/**
 * Returns the author of a change as stored in the log. The prefix comes from the token, so that a
 * principal can not submit changes in the name of another.
 */
export function formatAuthor(principal: Principal, author: string): string {
  const label =
    principal.kind === 'operator' ? 'operator' : `organisation ${principal.organisation}`;
  return `${label}: ${author}`.slice(0, MAXIMUM_AUTHOR_LENGTH);
}

/** Throws when a repeated change id belongs to a change of another principal. */
export function assertOwnChangeId(principal: Principal, accepted: model.Change): void {
  const label = formatAuthor(principal, '');
  if (principal.kind === 'organisation' && !accepted.author.startsWith(label)) {
    const message = 'the change id is not available';
    throw new results.FailureError('AdministrationRequestInvalid', message);
  }
}

/**
 * Returns the problems of entities that a principal may read; the others would reveal entity names.
 */
export function filterReadableProblems(
  principal: Principal,
  next: model.Configuration,
  problems: readonly model.ConfigurationProblem[],
): model.ConfigurationProblem[] {
  return problems.filter(({ entity }) => {
    const [kind, name] = entity.split('/') as [model.EntityKind, string];
    return canRead(principal, next, kind, name);
  });
}

/** Throws when the configuration that results from operations would be invalid. */
export function assertValidOperations(
  principal: Principal,
  current: model.Configuration,
  operations: readonly model.Operation[],
): void {
  const next = current.preview(operations);
  const all = model.validateConfiguration(next);
  const problems = filterReadableProblems(principal, next, all);
  const [first] = problems;
  if (first !== undefined) {
    const lines = problems.map(({ entity, message }) => `${entity}: ${message}`);
    throw new ResponseError(first.kind, lines.join('\n'), { problems });
  }
  if (all.length > 0) {
    throwForbidden();
  }
}

/** Returns the keys of a draft's entities that later changes also modify. */
export function findConflictingKeys(
  references: readonly EntityReference[],
  changes: readonly model.Change[],
): Set<string> {
  const draftKeys = new Set(references.map(formatReference));
  const conflictingKeys = new Set<string>();
  for (const change of changes) {
    for (const operation of change.operations) {
      const key = formatReference(getReference(operation));
      if (draftKeys.has(key)) {
        conflictingKeys.add(key);
      }
    }
  }
  return conflictingKeys;
}

/**
 * Returns the operations that restore an older configuration, within the authority of a principal.
 */
export function planRollback(
  principal: Principal,
  current: model.Configuration,
  target: model.Configuration,
): model.Operation[] {
  const differences = compareConfigurations(current, target).filter(({ kind, name }) => {
    const owningConfiguration = current.entities(kind).has(name) ? current : target;
    return canRead(principal, owningConfiguration, kind, name);
  });
  const operations = toOperations(differences);
  if (operations.length === 0) {
    const message = `revision ${target.revision} does not differ from the current configuration`;
    throw new results.FailureError('AdministrationRequestInvalid', message);
  }
  if (!model.changeDraftSchema.shape.operations.safeParse(operations).success) {
    const message = `the rollback has ${operations.length} operations, more than one change may contain`;
    throw new results.FailureError('ConfigurationTooLarge', message);
  }
  checkAuthority(principal, current, current.preview(operations), operations);
  return operations;
}
