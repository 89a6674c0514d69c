/**
 * The log of configuration changes. Creating the key of the next revision is the commit point.
 */
import { setTimeout as delay } from 'node:timers/promises';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import type * as storeClient from '@dogwoodstall/store-client';
import * as keys from './keys.js';
import { readSnapshot, writeSnapshot, type Store } from './snapshot.js';
import { parseValue } from './values.js';

/** Largest value of the store. */
export const MAXIMUM_CHANGE_BYTES = 1_000_000;
/** Changes between two snapshots. */
export const SNAPSHOT_INTERVAL = 200;

const PAGE_CHANGES = 50;
const CONFLICT_CHANGES = 200;
const COMMIT_ATTEMPTS = 5;
const COMMIT_RETRY_MILLISECONDS = 200;

/** What became of a draft. */
export type CommitResult =
  | { readonly kind: 'accepted'; readonly change: model.Change }
  /** The changes that were accepted since the base revision of the draft, the oldest first. */
  | { readonly kind: 'conflict'; readonly changes: readonly model.Change[] };

/** Options of the configuration log. */
export interface ConfigurationLogOptions {
  readonly store: Store;
  /** A configuration that is known already; spares reading the snapshot at each commit. */
  readonly currentConfiguration?: () => model.Configuration | undefined;
}

function parseDraft(input: model.ChangeDraftInput): model.ChangeDraft {
  const parsed = model.changeDraftSchema.safeParse(input);
  if (!parsed.success) {
    throw new results.FailureError('ConfigurationInvalid', parsed.error.message);
  }
  return parsed.data;
}

function checkConfiguration(configuration: model.Configuration): void {
  const [problem] = model.validateConfiguration(configuration);
  if (problem !== undefined) {
    throw new results.FailureError(problem.kind, `${problem.entity}: ${problem.message}`, {
      details: { entity: problem.entity },
    });
  }
}

function encodeChange(change: model.Change): string {
  const value = JSON.stringify(change);
  const bytes = Buffer.byteLength(value);
  if (bytes > MAXIMUM_CHANGE_BYTES) {
    throw new results.FailureError('ConfigurationTooLarge', undefined, {
      details: { bytes, limit: MAXIMUM_CHANGE_BYTES },
    });
  }
  return value;
}

function parseChanges(after: number, entries: readonly storeClient.StoreEntry[]): model.Change[] {
  const changes: model.Change[] = [];
  for (const entry of entries) {
    const change = parseValue(model.changeSchema, entry);
    if (change.revision !== after + 1 + changes.length) {
      const message = `revision ${after + 1 + changes.length} is missing before ${change.revision}`;
      throw new results.FailureError('StoreValueInvalid', message);
    }
    changes.push(change);
  }
  return changes;
}

function isStoreAway(error: unknown): boolean {
  return results.isFailure(error, 'StoreUnavailable') || results.isFailure(error, 'StoreTimeout');
}

/** Reads, commits and follows changes in the store. */
export class ConfigurationLog {
  private readonly store: Store;

  private readonly currentConfiguration: () => model.Configuration | undefined;

  constructor(options: ConfigurationLogOptions) {
    this.store = options.store;
    this.currentConfiguration = options.currentConfiguration ?? (() => undefined);
  }

  /** Reads the snapshot and every change after it. */
  async readLatest(): Promise<model.Configuration> {
    return this.catchUp(await readSnapshot(this.store));
  }

  /** Reads at most `limit` changes after a revision, in order and without a gap. */
  async readChanges(after: number, limit: number): Promise<model.Change[]> {
    const { entries } = await this.store.range(keys.rangeOfChanges(after, limit));
    return parseChanges(after, entries);
  }

  /**
   * Commits a draft.
   *
   * Throws `ConfigurationInvalid`, `ConfigurationReference`, `ConfigurationFloor` or
   * `ConfigurationTooLarge` for a draft that is not acceptable, `ConfigurationUnavailable` when it
   * was not accepted because the store is away, and `ConfigurationOutcomeUnknown` when the store
   * stopped answering; a commit with the same id then tells what became of it.
   */
  async commit(input: model.ChangeDraftInput): Promise<CommitResult> {
    const draft = parseDraft(input);
    const revision = draft.baseRevision + 1;
    const change = { ...draft, revision, acceptedAtEpochMilliseconds: Date.now() };
    const value = encodeChange(change);
    const latest = await this.readForCommit();
    if (latest.revision > draft.baseRevision) {
      return this.resolveStale(draft);
    }
    if (latest.revision < draft.baseRevision) {
      const message = `base revision ${draft.baseRevision} does not exist`;
      throw new results.FailureError('ConfigurationInvalid', message);
    }
    checkConfiguration(latest.preview(draft.operations));
    return this.write(change, value);
  }

  /**
   * Yields every change after a revision, in order and without a gap, and waits for further ones.
   * Throws when the store goes away; the reader starts again from its last revision. `onAnswer` is
   * called with each answer of the store, also without a change.
   */
  async *follow(
    after: number,
    signal: AbortSignal,
    onAnswer: () => void = () => {},
  ): AsyncGenerator<model.Change, void, undefined> {
    let known = after;
    let more = true;
    let storeRevision = 0;
    while (more) {
      const page = await this.store.range(keys.rangeOfChanges(known, PAGE_CHANGES));
      onAnswer();
      const changes = parseChanges(known, page.entries);
      yield* changes;
      known += changes.length;
      ({ more, storeRevision } = page);
    }
    const range = keys.rangeOfChanges(known);
    for await (const batch of this.store.watch(range, storeRevision + 1, signal)) {
      onAnswer();
      const puts = batch.events.filter((event) => event.type === 'PUT');
      const changes = parseChanges(
        known,
        puts.map((event) => event.kv),
      );
      yield* changes;
      known += changes.length;
    }
  }

  /** Waits for the change after a revision; undefined when the signal or the store ends the wait. */
  async waitForChange(after: number, signal: AbortSignal): Promise<model.Change | undefined> {
    const changes = this.follow(after, signal);
    const first = await changes.next();
    await changes.return();
    return first.done === true ? undefined : first.value;
  }

  /** Writes a snapshot if the one in force is old; returns the revision of the one in force. */
  async writeSnapshot(configuration: model.Configuration): Promise<number> {
    return writeSnapshot(this.store, configuration, SNAPSHOT_INTERVAL);
  }

  private async catchUp(from: model.Configuration): Promise<model.Configuration> {
    let configuration = from;
    let count = PAGE_CHANGES;
    while (count === PAGE_CHANGES) {
      const changes = await this.readChanges(configuration.revision, PAGE_CHANGES);
      for (const change of changes) {
        configuration = configuration.apply(change);
      }
      count = changes.length;
    }
    return configuration;
  }

  private async readForCommit(): Promise<model.Configuration> {
    try {
      return await this.catchUp(this.currentConfiguration() ?? (await readSnapshot(this.store)));
    } catch (error) {
      if (isStoreAway(error)) {
        throw new results.FailureError('ConfigurationUnavailable', undefined, { cause: error });
      }
      throw error;
    }
  }

  private async resolveStale(draft: model.ChangeDraft): Promise<CommitResult> {
    const changes = await this.readChanges(draft.baseRevision, CONFLICT_CHANGES);
    const own = changes.find((change) => change.id === draft.id);
    return own === undefined ? { kind: 'conflict', changes } : { kind: 'accepted', change: own };
  }

  // A transaction whose answer was lost is sent again: it can't take effect twice, and when the key
  // exists, its failure branch returns the change that is in force, whose id tells whose it is.
  private async write(change: model.Change, value: string): Promise<CommitResult> {
    const key = keys.formatChangeKey(change.revision);
    const transaction: storeClient.StoreTransaction = {
      compare: [{ target: 'version', key, equals: 0 }],
      success: [{ kind: 'put', key, value }],
      failure: [{ kind: 'range', key }],
    };
    let uncertain = false;
    for (let attempt = 1; attempt <= COMMIT_ATTEMPTS; attempt += 1) {
      try {
        const result = await this.store.transact(transaction);
        return result.succeeded ? { kind: 'accepted', change } : await this.resolveStale(change);
      } catch (error) {
        uncertain ||= results.isFailure(error, 'StoreTimeout');
        if (!isStoreAway(error)) {
          throw error;
        }
      }
      await delay(COMMIT_RETRY_MILLISECONDS * attempt);
    }
    throw new results.FailureError(
      uncertain ? 'ConfigurationOutcomeUnknown' : 'ConfigurationUnavailable',
    );
  }
}
