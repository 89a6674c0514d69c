/**
 * Submits changes: checks authority, validity and conflicts, commits with retries, and returns the
 * earlier result for a repeated change id.
 */
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { ResponseError } from './response-error.js';
import { checkAuthority, canRead } from './authority.js';
import {
  assertOwnChangeId,
  findConflictingKeys,
  formatAuthor,
  planRollback,
  assertValidOperations,
  filterReadableProblems,
} from './checks.js';
import {
  compareEntities,
  formatReference,
  listReferences,
  type EntityDifference,
} from './difference.js';
import type { AdministrationOptions } from './options.js';
import type { Principal } from './principal.js';

const CHANGES_PER_READ = 200;
// Each failed attempt means that another change was committed first; more of them in a row indicate
// overload.
const MAXIMUM_COMMIT_ATTEMPTS = 8;

type ChangeSubmitterOptions = Pick<
  AdministrationOptions,
  'currentConfiguration' | 'commit' | 'publish' | 'readChanges' | 'readRevision'
>;

// More changes than are made in a day. An older draft has to be rebased by its author, which bounds
// how much of the log one submission reads.
const MAXIMUM_REVISIONS_BEHIND = 2000;

/** The id and revision of an accepted change. */
export interface SubmissionResult {
  readonly id: string;
  readonly revision: number;
  /** True when an earlier submission with the same id was accepted and this one changed nothing. */
  readonly repeated: boolean;
}

/** The result of previewing a draft. */
export interface Preview {
  readonly revision: number;
  readonly difference: readonly EntityDifference[];
  readonly problems: readonly model.ConfigurationProblem[];
}

/** The request to restore an older revision. */
export interface RollbackRequest extends Pick<model.ChangeDraft, 'id' | 'author' | 'reason'> {
  /** The revision whose content is restored. */
  readonly revision: number;
  /** The latest revision that the author saw. */
  readonly baseRevision: number;
}

interface BaseState {
  readonly current: model.Configuration;
  /** The changes after the base revision of the draft. */
  readonly changes: readonly model.Change[];
}

// All reads of a submission precede its write, so a failed read guarantees that nothing was
// written. The failure is converted to `ConfigurationUnavailable`, which reports this to the
// caller.
async function readBeforeWrite<Value>(read: Promise<Value>): Promise<Value> {
  try {
    return await read;
  } catch (error) {
    if (results.isFailure(error, 'StoreUnavailable') || results.isFailure(error, 'StoreTimeout')) {
      const message = 'the store is unavailable; this submission changed nothing';
      throw new results.FailureError('ConfigurationUnavailable', message, { cause: error });
    }
    throw error;
  }
}

/** Checks and commits changes on behalf of principals. */
export class ChangeSubmitter {
  constructor(private readonly options: ChangeSubmitterOptions) {}

  /** Returns the active configuration; throws `ConfigurationUnavailable` before there is one. */
  requireConfiguration(): model.Configuration {
    const configuration = this.options.currentConfiguration();
    if (configuration === undefined) {
      throw new results.FailureError('ConfigurationUnavailable', 'no configuration is known yet');
    }
    return configuration;
  }

  /**
   * Commits a draft. A draft on an older base is accepted when no later change affects the same
   * entities. Returns the earlier result for a repeated id.
   *
   * Throws `ConfigurationConflict` with the difference of the conflicting entities.
   */
  async submit(principal: Principal, draft: model.ChangeDraft): Promise<SubmissionResult> {
    return this.commitWithRetries(principal, draft, (state) => {
      checkAuthority(
        principal,
        state.current,
        state.current.preview(draft.operations),
        draft.operations,
      );
      return draft.operations;
    });
  }

  /** Returns what a draft would change now, and the problems for which it would be rejected. */
  async preview(
    principal: Principal,
    draft: Pick<model.ChangeDraft, 'baseRevision' | 'operations'>,
  ): Promise<Preview> {
    const { current } = await this.readState(draft.baseRevision);
    const next = current.preview(draft.operations);
    checkAuthority(principal, current, next, draft.operations);
    return {
      revision: current.revision,
      difference: compareEntities(current, next, listReferences(draft.operations)),
      problems: filterReadableProblems(principal, next, model.validateConfiguration(next)),
    };
  }

  /**
   * Restores the content of an older revision as a new one, within the authority of a principal.
   */
  async rollBack(principal: Principal, request: RollbackRequest): Promise<SubmissionResult> {
    const { revision, ...draft } = request;
    const target = await readBeforeWrite(this.options.readRevision(revision));
    if (target === undefined) {
      throw new results.FailureError(
        'ConfigurationNotFound',
        `revision ${revision} is not available`,
      );
    }
    return this.commitWithRetries(principal, { ...draft, operations: [] }, ({ current }) => {
      if (current.revision !== request.baseRevision) {
        const message = `the latest revision is ${current.revision}, but the rollback is based on ${request.baseRevision}`;
        throw new results.FailureError('ConfigurationConflict', message);
      }
      return planRollback(principal, current, target);
    });
  }

  private async commitWithRetries(
    principal: Principal,
    draft: model.ChangeDraft,
    createOperations: (state: BaseState) => readonly model.Operation[],
  ): Promise<SubmissionResult> {
    for (let attempt = 1; ; attempt += 1) {
      const state = await this.readState(draft.baseRevision);
      const accepted = state.changes.find((change) => change.id === draft.id);
      if (accepted !== undefined) {
        assertOwnChangeId(principal, accepted);
        this.options.publish(accepted);
        return { id: draft.id, revision: accepted.revision, repeated: true };
      }
      const operations = [...createOperations(state)];
      await this.assertNoConflict(principal, draft, state);
      assertValidOperations(principal, state.current, operations);
      try {
        const change = await this.options.commit({
          ...draft,
          author: formatAuthor(principal, draft.author),
          baseRevision: state.current.revision,
          operations,
        });
        this.options.publish(change);
        return { id: change.id, revision: change.revision, repeated: false };
      } catch (error) {
        if (
          !results.isFailure(error, 'ConfigurationConflict') ||
          attempt === MAXIMUM_COMMIT_ATTEMPTS
        ) {
          throw error;
        }
      }
    }
  }

  // The daemon's own configuration may lag behind the store, so newer changes are read from the
  // store.
  private async readState(baseRevision: number): Promise<BaseState> {
    let current = this.requireConfiguration();
    if (current.revision - baseRevision > MAXIMUM_REVISIONS_BEHIND) {
      const message = `the base revision ${baseRevision} is too old; the current revision is ${current.revision}`;
      throw new results.FailureError('ConfigurationConflict', message);
    }
    const from = Math.min(baseRevision, current.revision);
    const changes: model.Change[] = [];
    for (;;) {
      const after = from + changes.length;
      const page = await readBeforeWrite(this.options.readChanges(after, CHANGES_PER_READ));
      changes.push(...page);
      if (page.length === 0) {
        break;
      }
    }
    for (const change of changes) {
      if (change.revision > current.revision) {
        current = current.apply(change);
      }
    }
    if (baseRevision > current.revision) {
      const message = `the base revision ${baseRevision} does not exist`;
      throw new results.FailureError('AdministrationRequestInvalid', message);
    }
    return { current, changes: changes.filter((change) => change.revision > baseRevision) };
  }

  private async assertNoConflict(
    principal: Principal,
    draft: model.ChangeDraft,
    { current, changes }: BaseState,
  ): Promise<void> {
    const concerned = listReferences(draft.operations);
    const conflictingKeys = findConflictingKeys(concerned, changes);
    if (conflictingKeys.size === 0) {
      return;
    }
    const references = concerned.filter((reference) =>
      conflictingKeys.has(formatReference(reference)),
    );
    const base = await readBeforeWrite(this.options.readRevision(draft.baseRevision));
    const difference =
      base === undefined
        ? references.map(({ kind, name }) => ({
            kind,
            name,
            after: current.entities(kind).get(name) ?? null,
          }))
        : compareEntities(base, current, references).filter(
            ({ kind, name, before }) => before === null || canRead(principal, base, kind, name),
          );
    const message = `entities changed since revision ${draft.baseRevision}: ${[...conflictingKeys].join(', ')}`;
    throw new ResponseError('ConfigurationConflict', message, {
      baseRevision: draft.baseRevision,
      currentRevision: current.revision,
      difference,
    });
  }
}
