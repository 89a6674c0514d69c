/**
 * The subcommands of `dogwoodstall configuration` that change or preview the configuration.
 */
import * as cmd from 'cmd-ts';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import type { SubmissionResult, Preview } from '../administration-responses.js';
import type { AdministrationClient } from '../administration-client.js';
import { readChangeFile, readEntityFile } from '../change-file.js';
import { formatDifference } from '../difference-text.js';
import {
  changeOptions,
  connectionOptions,
  jsonFlag,
  kindPositional,
  revisionPositional,
  withClient,
  type ChangeValues,
} from '../options.js';
import { printData, printLine } from '../output.js';

const filePositional = cmd.positional({
  displayName: 'FILE',
  description: 'change file, in the format that `plan` writes',
});

function printSubmissionResult(result: SubmissionResult, json: boolean): void {
  if (json) {
    printData(result);
    return;
  }
  printLine(
    result.repeated
      ? `already in revision ${result.revision}; nothing was changed`
      : `accepted as revision ${result.revision}`,
  );
}

async function readLatestRevision(client: AdministrationClient): Promise<number> {
  const { acceptedRevision } = await client.getStatus();
  return acceptedRevision;
}

async function previewAtLatest(
  client: AdministrationClient,
  operations: model.Operation[],
): Promise<Preview> {
  return client.preview({ baseRevision: await readLatestRevision(client), operations });
}

// Without a base revision, the author has not reviewed the entities that the change would replace.
function assertNoReplacements({ revision, difference }: Preview): void {
  const replaced = difference.filter(({ before }) => before !== null);
  if (replaced.length > 0) {
    const lines = formatDifference(replaced).join('\n');
    const message = `the change would alter existing entities; check the difference and give --base ${revision}\n${lines}`;
    throw new results.FailureError('ConfigurationConflict', message);
  }
}

async function submit(
  client: AdministrationClient,
  values: ChangeValues,
  operations: model.Operation[],
  defaultReason: string,
): Promise<SubmissionResult> {
  const { id, author, base } = values;
  let baseRevision = base;
  if (baseRevision === undefined) {
    const preview = await previewAtLatest(client, operations);
    assertNoReplacements(preview);
    if (preview.difference.length === 0) {
      return { id, revision: preview.revision, repeated: true };
    }
    baseRevision = preview.revision;
  }
  const reason = values.reason ?? defaultReason;
  return client.submit({ id, author, reason, baseRevision, operations });
}

/** Creates or replaces one entity. */
export const putCommand = cmd.command({
  name: 'put',
  description: 'Create or replace one entity from a TOML file, in the format that `get` prints',
  args: {
    kind: kindPositional,
    file: cmd.positional({ displayName: 'FILE', description: 'TOML file with one entity' }),
    json: jsonFlag,
    ...changeOptions,
    ...connectionOptions,
  },
  handler: async ({ kind, file, json, reason, author, base, id, ...connection }) => {
    const { entity, revision } = await readEntityFile(kind, file);
    const operation = { action: 'put', kind, entity } as model.Operation;
    const values = { reason, author, base: base ?? revision, id };
    const result = await withClient(connection, async (client) =>
      submit(client, values, [operation], `put ${kind}/${entity.name}`),
    );
    printSubmissionResult(result, json);
  },
});

/** Removes one entity. */
export const removeCommand = cmd.command({
  name: 'remove',
  description: 'Remove one entity',
  args: {
    kind: kindPositional,
    name: cmd.positional({ displayName: 'NAME' }),
    json: jsonFlag,
    ...changeOptions,
    ...connectionOptions,
  },
  handler: async ({ kind, name, json, reason, author, base, id, ...connection }) => {
    const operation: model.Operation = { action: 'remove', kind, name };
    const result = await withClient(connection, async (client) => {
      const baseRevision = base ?? (await client.getEntity(kind, name)).revision;
      const values = { reason, author, base: baseRevision, id };
      return submit(client, values, [operation], `remove ${kind}/${name}`);
    });
    printSubmissionResult(result, json);
  },
});

/** Submits a change file. */
export const applyCommand = cmd.command({
  name: 'apply',
  description: 'Submit a change file as one change',
  args: { file: filePositional, json: jsonFlag, ...changeOptions, ...connectionOptions },
  handler: async ({ file, json, reason, author, base, id, ...connection }) => {
    const change = await readChangeFile(file);
    const values = {
      reason: reason ?? change.reason,
      author: change.author ?? author,
      base: base ?? change.baseRevision,
      id,
    };
    const result = await withClient(connection, async (client) =>
      submit(client, values, change.operations, `apply ${file}`),
    );
    printSubmissionResult(result, json);
  },
});

function printPreview(preview: Preview): void {
  printLine(`compared with revision ${preview.revision}`);
  const lines = formatDifference(preview.difference);
  printLine(lines.length === 0 ? 'no difference' : lines.join('\n'));
}

/** Prints what a change file would change. */
export const diffCommand = cmd.command({
  name: 'diff',
  description: 'Print what a change file would change; fails when the change would be rejected',
  args: { file: filePositional, json: jsonFlag, ...connectionOptions },
  handler: async ({ file, json, ...connection }) => {
    const { operations } = await readChangeFile(file);
    const preview = await withClient(connection, async (client) =>
      previewAtLatest(client, operations),
    );
    if (json) {
      printData(preview);
    } else {
      printPreview(preview);
    }
    const [first] = preview.problems;
    if (first !== undefined) {
      const lines = preview.problems.map(({ entity, message }) => `${entity}: ${message}`);
      throw new results.FailureError(first.kind, lines.join('\n'));
    }
  },
});

/** Restores an older revision. */
export const rollbackCommand = cmd.command({
  name: 'rollback',
  description: 'Restore the content of an older revision as a new one',
  args: {
    revision: revisionPositional,
    json: jsonFlag,
    ...changeOptions,
    ...connectionOptions,
  },
  handler: async ({ revision, json, reason, author, base, id, ...connection }) => {
    const result = await withClient(connection, async (client) =>
      client.rollBack({
        id,
        author,
        reason: reason ?? `roll back to revision ${revision}`,
        revision,
        baseRevision: base ?? (await readLatestRevision(client)),
      }),
    );
    printSubmissionResult(result, json);
  },
});
