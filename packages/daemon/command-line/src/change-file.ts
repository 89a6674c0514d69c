/**
 * Change files: TOML files with operations, written by `plan` and read by `configuration apply`.
 */
import { writeFile } from 'node:fs/promises';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as settings from '@dogwoodstall/settings';
import * as toml from 'smol-toml';
import * as zod from 'zod';

const { author, reason, baseRevision, operations } = model.changeDraftSchema.shape;

const changeFileSchema = zod.strictObject({
  reason: reason.optional(),
  author: author.optional(),
  /** The revision on which the change is based. */
  baseRevision: baseRevision.optional(),
  operations,
});

/** The content of a change file. */
export type ChangeFile = zod.infer<typeof changeFileSchema>;

const REVISION_COMMENT = /^# revision (\d{1,12})$/m;

/** Reads a change file; throws `ConfigurationInvalid` with file, line and key of every problem. */
export async function readChangeFile(file: string): Promise<ChangeFile> {
  const text = await settings.readTextFile(file);
  return settings.parseToml(text, file, changeFileSchema, { invalidKind: 'ConfigurationInvalid' });
}

/** Formats a change file as TOML. */
export function formatChangeFile(change: ChangeFile): string {
  return `${toml.stringify(change)}\n`;
}

/** One entity from a file, and the revision at which it was read. */
export interface EntityFile {
  readonly entity: model.EntityByKind[model.EntityKind];
  readonly revision: number | undefined;
}

/** Reads a file with one entity; throws `ConfigurationInvalid`. */
export async function readEntityFile(kind: model.EntityKind, file: string): Promise<EntityFile> {
  const text = await settings.readTextFile(file);
  const schema: zod.ZodType<EntityFile['entity']> = model.entitySchemas[kind];
  const entity = settings.parseToml(text, file, schema, { invalidKind: 'ConfigurationInvalid' });
  const revision = REVISION_COMMENT.exec(text)?.[1];
  return { entity, revision: revision === undefined ? undefined : Number(revision) };
}

/** Formats one entity as TOML that `readEntityFile` can read, with its revision in a comment. */
export function formatEntity(entity: Record<string, unknown>, revision: number): string {
  return `# revision ${revision}\n${toml.stringify(entity)}`;
}

/** Writes a text file; throws `OutputUnwritable`. */
export async function writeTextFile(file: string, text: string): Promise<void> {
  try {
    await writeFile(file, text);
  } catch (error) {
    const problem = (error as NodeJS.ErrnoException).code ?? String(error);
    const message = `${file}: the file could not be written (${problem})`;
    throw new results.FailureError('OutputUnwritable', message, { cause: error });
  }
}
