/**
 * The checks between a draft and its commit.
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

/** Returns the author of a change as kept in the log; a token can not write under another name. */
export function formatAuthor(principal: Principal, author: string): string {
  const label =
    principal.kind === 'operator' ? 'operator' : `organisation ${principal.organisation}`;
  return `${label}: ${author}`.slice(0, MAXIMUM_AUTHOR_LENGTH);
}

/** Throws when a repeated change id belongs to a change of somebody else. */
export function assertOwnChangeId(principal: Principal, accepted: model.Change): void {
  const label = formatAuthor(principal, '');
  if (principal.kind === 'organisation' && !accepted.author.startsWith(label)) {
    const message = 'the change id is not available';
    throw new results.FailureError('AdministrationRequestInvalid', message);
  }
}

/** Returns the problems that a principal may know; others name foreign entities. */
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

/** Throws when operations would give a configuration that is not acceptable. */
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

/** Returns the keys of the entities that changes concern, among those that a draft concerns. */
export function findConflictingKeys(
  concerned: readonly EntityReference[],
  changes: readonly model.Change[],
): Set<string> {
  const keys = new Set(concerned.map(formatReference));
  const touched = new Set<string>();
  for (const change of changes) {
    for (const operation of change.operations) {
      const key = formatReference(getReference(operation));
      if (keys.has(key)) {
        touched.add(key);
      }
    }
  }
  return touched;
}

/** Returns the operations that restore an older configuration, within the authority of a principal. */
export function planRollback(
  principal: Principal,
  current: model.Configuration,
  target: model.Configuration,
): model.Operation[] {
  const differences = compareConfigurations(current, target).filter(({ kind, name }) => {
    const holder = current.entities(kind).has(name) ? current : target;
    return canRead(principal, holder, kind, name);
  });
  const operations = toOperations(differences);
  if (operations.length === 0) {
    const message = `revision ${target.revision} does not differ from the current configuration`;
    throw new results.FailureError('AdministrationRequestInvalid', message);
  }
  if (!model.changeDraftSchema.shape.operations.safeParse(operations).success) {
    const message = `the rollback has ${operations.length} operations, more than one change may have`;
    throw new results.FailureError('ConfigurationTooLarge', message);
  }
  checkAuthority(principal, current, current.preview(operations), operations);
  return operations;
}
