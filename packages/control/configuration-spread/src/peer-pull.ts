/**
 * Pulls configuration from a peer and responds to such pulls: pages of changes, or a snapshot of the whole
 * configuration when the peer no longer has the changes.
 */
import * as model from '@dogwoodstall/model';
import type * as peerLink from '@dogwoodstall/peer-link';
import type { ConfigurationState } from './state.js';

const OPERATIONS_PER_PAGE = 500;
const MAXIMUM_PAGES = 2000;
const SNAPSHOT_RETENTION_MILLISECONDS = 30_000;

type PullInput = peerLink.ProcedureInput<'pullChanges'>;
type PullOutput = peerLink.ProcedureOutput<'pullChanges'>;

/** Sends one pull request to the peer. */
export type PullCall = (input: PullInput) => Promise<PullOutput>;

/** Pulls every revision that a peer has and this daemon lacks. */
export async function pullAll(state: ConfigurationState, call: PullCall): Promise<void> {
  let operations: model.Operation[] = [];
  // Changes need a base: a daemon without a configuration requests a snapshot.
  let input: PullInput =
    state.current === undefined
      ? { after: 0, snapshotRevision: 0, offset: 0 }
      : { after: state.revision, offset: 0 };
  for (let page = 0; page < MAXIMUM_PAGES; page += 1) {
    const response = await call(input);
    if (response.kind === 'changes') {
      const before = state.revision;
      response.changes.forEach((change) => state.applyChange(change));
      if (state.revision === before || state.revision >= response.revision) {
        return;
      }
      input = { after: state.revision, offset: 0 };
      continue;
    }
    // The peer restarts at the first page when it no longer has a snapshot of the requested revision.
    operations =
      response.offset === 0 ? response.operations : operations.concat(response.operations);
    if (!response.more) {
      state.replaceConfiguration(model.Configuration.fromOperations(response.revision, operations));
      return;
    }
    input = { after: input.after, snapshotRevision: response.revision, offset: operations.length };
  }
}

/** Responds to pulls of peers. */
export class PullResponder {
  private readonly state: ConfigurationState;

  private snapshot: { revision: number; operations: model.Operation[] } | undefined;

  private timer: NodeJS.Timeout | undefined;

  constructor(state: ConfigurationState) {
    this.state = state;
  }

  /** Responds to one pull request. */
  respond(input: PullInput): PullOutput {
    const { current, revision } = this.state;
    if (
      current === undefined ||
      (revision <= input.after && input.snapshotRevision === undefined)
    ) {
      return { kind: 'changes', revision, changes: [] };
    }
    const changes = this.state.recent.getPageAfter(input.after);
    if (changes !== undefined && input.snapshotRevision === undefined) {
      return { kind: 'changes', revision, changes };
    }
    return this.respondWithSnapshot(current, input);
  }

  /** Releases the snapshot that is cached between pages. */
  close(): void {
    clearTimeout(this.timer);
    this.snapshot = undefined;
  }

  private respondWithSnapshot(current: model.Configuration, input: PullInput): PullOutput {
    const isContinuation = this.snapshot?.revision === input.snapshotRevision;
    if (this.snapshot === undefined || !isContinuation) {
      this.snapshot = { revision: current.revision, operations: current.toOperations() };
    }
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.close(), SNAPSHOT_RETENTION_MILLISECONDS).unref();
    const { revision, operations } = this.snapshot;
    const offset = isContinuation ? input.offset : 0;
    const end = offset + OPERATIONS_PER_PAGE;
    return {
      kind: 'snapshot',
      revision,
      offset,
      operations: operations.slice(offset, end),
      more: end < operations.length,
    };
  }
}
