/**
 * Worked examples: the TOML files of `examples/NAME`.
 */
import * as fileSystem from 'node:fs/promises';
import * as path from 'node:path';
import * as results from '@dogwoodstall/results';
import * as toml from 'smol-toml';

const examplesDirectory = new URL('../../../../../examples/', import.meta.url);

/** The parsed files of an example by file name without extension. */
export type ExampleFiles = ReadonlyMap<string, toml.TomlTable>;

/** Reads every TOML file of an example; throws `MeasurementUnknown` or `SettingsSyntax`. */
export async function readExampleFiles(name: string): Promise<ExampleFiles> {
  const directory = new URL(`${encodeURIComponent(name)}/`, examplesDirectory);
  let fileNames: string[];
  try {
    fileNames = (await fileSystem.readdir(directory)).filter((file) => file.endsWith('.toml'));
  } catch (cause) {
    throw new results.FailureError('MeasurementUnknown', `no example "${name}"`, { cause });
  }
  const files = new Map<string, toml.TomlTable>();
  for (const fileName of fileNames.sort()) {
    const text = await fileSystem.readFile(new URL(fileName, directory), 'utf8');
    try {
      files.set(path.basename(fileName, '.toml'), toml.parse(text));
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      throw new results.FailureError('SettingsSyntax', `${fileName}: ${reason}`, { cause });
    }
  }
  return files;
}
