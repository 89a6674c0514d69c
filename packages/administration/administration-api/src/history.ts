/**
 * The history of accepted changes, reduced to what a principal may read.
 */
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { findOwner } from './authority.js';
import { getReference } from './difference.js';
import type { AdministrationOptions } from './options.js';
import type { Principal } from './principal.js';

/** A page of accepted changes. */
export interface HistoryPage {
  readonly changes: readonly model.Change[];
  /**
   * The revision after which the next page starts; `changes` may omit changes of other
   * organisations.
   */
  readonly lastRevision: number;
}

function selectOwnOperations(
  organisation: string,
  before: model.Configuration,
  after: model.Configuration,
  operations: readonly model.Operation[],
): model.Operation[] {
  return operations.filter((operation) => {
    const { kind, name } = getReference(operation);
    const owner = findOwner(operation.action === 'put' ? after : before, kind, name);
    return owner === organisation;
  });
}

// The author and reason of a change that also affects other organisations may name them.
function redactChange(change: model.Change, operations: model.Operation[]): model.Change {
  if (operations.length === change.operations.length) {
    return change;
  }
  return { ...change, operations, author: 'operator', reason: 'part of a larger change' };
}

/** Returns accepted changes after a revision; an organisation sees its own entities only. */
export async function readHistory(
  options: Pick<AdministrationOptions, 'readChanges' | 'readRevision'>,
  principal: Principal,
  after: number,
  limit: number,
): Promise<HistoryPage> {
  const changes = await options.readChanges(after, limit);
  const lastRevision = changes.at(-1)?.revision ?? after;
  if (principal.kind === 'operator') {
    return { changes, lastRevision };
  }
  const base = await options.readRevision(after);
  if (base === undefined) {
    throw new results.FailureError('ConfigurationNotFound', `revision ${after} is not available`);
  }
  let before: model.Configuration = base;
  const visible: model.Change[] = [];
  for (const change of changes) {
    const next: model.Configuration = before.apply(change);
    const ownOperations = selectOwnOperations(
      principal.organisation,
      before,
      next,
      change.operations,
    );
    if (ownOperations.length > 0) {
      visible.push(redactChange(change, ownOperations));
    }
    before = next;
  }
  return { changes: visible, lastRevision };
}
