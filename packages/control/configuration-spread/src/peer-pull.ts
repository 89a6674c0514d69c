/**
 * Reading configuration from a peer: pages of changes, or the whole configuration where the peer no
 * longer keeps the changes. Also the answers to such reads.
 */
import * as model from '@dogwoodstall/model';
import type * as peerLink from '@dogwoodstall/peer-link';
import type { ConfigurationState } from './state.js';

const PAGE_OPERATIONS = 500;
const MAXIMUM_PAGES = 2000;
const KEEP_SNAPSHOT_MILLISECONDS = 30_000;

type PullInput = peerLink.ProcedureInput<'pullChanges'>;
type PullOutput = peerLink.ProcedureOutput<'pullChanges'>;

/** Sends one read to the peer. */
export type PullCall = (input: PullInput) => Promise<PullOutput>;

/** Reads everything that a peer has and this daemon lacks. */
export async function pullAll(state: ConfigurationState, call: PullCall): Promise<void> {
  let operations: model.Operation[] = [];
  // Changes can't be applied to nothing: a daemon without a configuration asks for the whole one.
  let input: PullInput =
    state.current === undefined
      ? { after: 0, snapshotRevision: 0, offset: 0 }
      : { after: state.revision, offset: 0 };
  for (let page = 0; page < MAXIMUM_PAGES; page += 1) {
    const answer = await call(input);
    if (answer.kind === 'changes') {
      const before = state.revision;
      answer.changes.forEach((change) => state.applyChange(change));
      if (state.revision === before || state.revision >= answer.revision) {
        return;
      }
      input = { after: state.revision, offset: 0 };
      continue;
    }
    // The peer starts again at the first page when it no longer keeps the revision that was asked for.
    operations = answer.offset === 0 ? answer.operations : operations.concat(answer.operations);
    if (!answer.more) {
      state.replaceWhole(model.Configuration.fromOperations(answer.revision, operations));
      return;
    }
    input = { after: input.after, snapshotRevision: answer.revision, offset: operations.length };
  }
}

/** Answers reads of peers. */
export class PullAnswers {
  private readonly state: ConfigurationState;

  private snapshot: { revision: number; operations: model.Operation[] } | undefined;

  private timer: NodeJS.Timeout | undefined;

  constructor(state: ConfigurationState) {
    this.state = state;
  }

  /** Answers one read. */
  answer(input: PullInput): PullOutput {
    const { current, revision } = this.state;
    if (
      current === undefined ||
      (revision <= input.after && input.snapshotRevision === undefined)
    ) {
      return { kind: 'changes', revision, changes: [] };
    }
    const changes = this.state.recent.pageAfter(input.after);
    if (changes !== undefined && input.snapshotRevision === undefined) {
      return { kind: 'changes', revision, changes };
    }
    return this.answerSnapshot(current, input);
  }

  /** Forgets the snapshot that is kept between pages. */
  close(): void {
    clearTimeout(this.timer);
    this.snapshot = undefined;
  }

  private answerSnapshot(current: model.Configuration, input: PullInput): PullOutput {
    const continues = this.snapshot?.revision === input.snapshotRevision;
    if (this.snapshot === undefined || !continues) {
      this.snapshot = { revision: current.revision, operations: current.toOperations() };
    }
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.close(), KEEP_SNAPSHOT_MILLISECONDS).unref();
    const { revision, operations } = this.snapshot;
    const offset = continues ? input.offset : 0;
    const end = offset + PAGE_OPERATIONS;
    return {
      kind: 'snapshot',
      revision,
      offset,
      operations: operations.slice(offset, end),
      more: end < operations.length,
    };
  }
}
