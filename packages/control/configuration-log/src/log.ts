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

/** Maximum size of an encoded change; the store limits the size of a value. */
export const MAXIMUM_CHANGE_BYTES = 1_000_000;
/** Minimum number of changes between two snapshots. */
export const SNAPSHOT_INTERVAL = 200;

const CHANGES_PER_PAGE = 50;
const MAXIMUM_CONFLICT_CHANGES = 200;
const MAXIMUM_COMMIT_ATTEMPTS = 5;
const COMMIT_RETRY_DELAY_MILLISECONDS = 200;

/** Result of the commit of a draft. */
export type CommitResult =
  | { readonly kind: 'accepted'; readonly change: model.Change }
  /** The changes that were accepted since the base revision of the draft, the oldest first. */
  | { readonly kind: 'conflict'; readonly changes: readonly model.Change[] };

/** Options of the configuration log. */
export interface ConfigurationLogOptions {
  readonly store: Store;
  /** Returns a configuration that is already known, to avoid reading the snapshot at each commit. */
  readonly currentConfiguration?: () => model.Configuration | undefined;
}

function parseDraft(input: model.ChangeDraftInput): model.ChangeDraft {
  const parsed = model.changeDraftSchema.safeParse(input);
  if (!parsed.success) {
    throw new results.FailureError('ConfigurationInvalid', parsed.error.message);
  }
  return parsed.data;
}

function assertValidConfiguration(configuration: model.Configuration): void {
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

function isStoreUnavailable(error: unknown): boolean {
  return results.isFailure(error, 'StoreUnavailable') || results.isFailure(error, 'StoreTimeout');
}

/** Reads, commits and watches changes in the store. */
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

  /** Reads at most `limit` changes after a revision, in order and without gaps. */
  async readChanges(after: number, limit: number): Promise<model.Change[]> {
    const { entries } = await this.store.range(keys.buildChangeRange(after, limit));
    return parseChanges(after, entries);
  }

  /**
   * Commits a draft.
   *
   * Throws `ConfigurationInvalid`, `ConfigurationReference`, `ConfigurationFloor` or
   * `ConfigurationTooLarge` for an invalid draft, `ConfigurationUnavailable` when the draft was not
   * committed because the store is unavailable, and `ConfigurationOutcomeUnknown` when the store
   * stopped responding; another commit with the same id then returns the outcome.
   */
  async commit(input: model.ChangeDraftInput): Promise<CommitResult> {
    const draft = parseDraft(input);
    const revision = draft.baseRevision + 1;
    const change = { ...draft, revision, acceptedAtEpochMilliseconds: Date.now() };
    const value = encodeChange(change);
    const latest = await this.readLatestForCommit();
    if (latest.revision > draft.baseRevision) {
      return this.resolveStaleDraft(draft);
    }
    if (latest.revision < draft.baseRevision) {
      const message = `base revision ${draft.baseRevision} does not exist`;
      throw new results.FailureError('ConfigurationInvalid', message);
    }
    assertValidConfiguration(latest.preview(draft.operations));
    return this.writeChange(change, value);
  }

  /**
   * Yields every change after a revision, in order and without gaps, and waits for further changes.
   * Throws when the store becomes unavailable; the caller then starts again from its last revision.
   * `onResponse` is called on each response of the store, even one without changes.
   */
  async *follow(
    after: number,
    signal: AbortSignal,
    onResponse: () => void = () => {},
  ): AsyncGenerator<model.Change, void, undefined> {
    let lastRevision = after;
    let more = true;
    let storeRevision = 0;
    while (more) {
      const page = await this.store.range(keys.buildChangeRange(lastRevision, CHANGES_PER_PAGE));
      onResponse();
      const changes = parseChanges(lastRevision, page.entries);
      yield* changes;
      lastRevision += changes.length;
      ({ more, storeRevision } = page);
    }
    const range = keys.buildChangeRange(lastRevision);
    for await (const batch of this.store.watch(range, storeRevision + 1, signal)) {
      onResponse();
      const puts = batch.events.filter((event) => event.type === 'PUT');
      const changes = parseChanges(
        lastRevision,
        puts.map((event) => event.kv),
      );
      yield* changes;
      lastRevision += changes.length;
    }
  }

  /** Waits for the change after a revision; returns undefined if the signal or the store ends the wait. */
  async waitForChange(after: number, signal: AbortSignal): Promise<model.Change | undefined> {
    const changes = this.follow(after, signal);
    const first = await changes.next();
    await changes.return();
    return first.done === true ? undefined : first.value;
  }

  /** Writes a snapshot unless a recent one exists; returns the revision of the current snapshot. */
  async writeSnapshot(configuration: model.Configuration): Promise<number> {
    return writeSnapshot(this.store, configuration, SNAPSHOT_INTERVAL);
  }

  private async catchUp(from: model.Configuration): Promise<model.Configuration> {
    let configuration = from;
    let count = CHANGES_PER_PAGE;
    while (count === CHANGES_PER_PAGE) {
      const changes = await this.readChanges(configuration.revision, CHANGES_PER_PAGE);
      for (const change of changes) {
        configuration = configuration.apply(change);
      }
      count = changes.length;
    }
    return configuration;
  }

  private async readLatestForCommit(): Promise<model.Configuration> {
    try {
      return await this.catchUp(this.currentConfiguration() ?? (await readSnapshot(this.store)));
    } catch (error) {
      if (isStoreUnavailable(error)) {
        throw new results.FailureError('ConfigurationUnavailable', undefined, { cause: error });
      }
      throw error;
    }
  }

  private async resolveStaleDraft(draft: model.ChangeDraft): Promise<CommitResult> {
    const changes = await this.readChanges(draft.baseRevision, MAXIMUM_CONFLICT_CHANGES);
    const ownChange = changes.find((change) => change.id === draft.id);
    return ownChange === undefined
      ? { kind: 'conflict', changes }
      : { kind: 'accepted', change: ownChange };
  }

  // A transaction without a response is safe to retry: it creates the key of the revision only once. When
  // the key already exists, the id of its change shows whether this draft or another one was committed.
  private async writeChange(change: model.Change, value: string): Promise<CommitResult> {
    const key = keys.formatChangeKey(change.revision);
    const transaction: storeClient.StoreTransaction = {
      compare: [{ target: 'version', key, equals: 0 }],
      success: [{ kind: 'put', key, value }],
      failure: [{ kind: 'range', key }],
    };
    let uncertain = false;
    for (let attempt = 1; attempt <= MAXIMUM_COMMIT_ATTEMPTS; attempt += 1) {
      try {
        const result = await this.store.transact(transaction);
        return result.succeeded
          ? { kind: 'accepted', change }
          : await this.resolveStaleDraft(change);
      } catch (error) {
        uncertain ||= results.isFailure(error, 'StoreTimeout');
        if (!isStoreUnavailable(error)) {
          throw error;
        }
      }
      await delay(COMMIT_RETRY_DELAY_MILLISECONDS * attempt);
    }
    throw new results.FailureError(
      uncertain ? 'ConfigurationOutcomeUnknown' : 'ConfigurationUnavailable',
    );
  }
}
