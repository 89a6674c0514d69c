/**
 * A configuration log in memory.
 */
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';

/** Commits changes as the configuration log in the store does. */
export class FakeConfigurationLog {
  readonly changes: model.Change[] = [];

  /**
   * Whether the next commit succeeds or, after storing the change, fails with an unknown outcome.
   */
  nextCommit: 'accept' | 'lose-answer' = 'accept';

  /** Runs once before the next commit, to simulate a concurrent commit by another operator. */
  beforeCommit: (() => void) | undefined;

  current = model.Configuration.empty();

  /** An older configuration that is still active in the daemon; by default the latest one is. */
  lagging: model.Configuration | undefined;

  append(draft: model.ChangeDraft): model.Change {
    if (draft.baseRevision !== this.changes.length) {
      throw new results.FailureError('ConfigurationConflict');
    }
    const revision = this.changes.length + 1;
    const change = { ...draft, revision, acceptedAtEpochMilliseconds: 0 };
    this.changes.push(change);
    this.current = this.current.apply(change);
    return change;
  }

  async commit(draft: model.ChangeDraft): Promise<model.Change> {
    const { beforeCommit, nextCommit } = this;
    this.beforeCommit = undefined;
    beforeCommit?.();
    const change = this.append(draft);
    this.nextCommit = 'accept';
    if (nextCommit === 'lose-answer') {
      throw new results.FailureError('ConfigurationOutcomeUnknown');
    }
    return change;
  }

  async readRevision(revision: number): Promise<model.Configuration | undefined> {
    let configuration = model.Configuration.empty();
    for (const change of this.changes.slice(0, revision)) {
      configuration = configuration.apply(change);
    }
    return configuration;
  }
}
