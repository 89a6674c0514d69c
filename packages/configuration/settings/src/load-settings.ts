/**
 * Loads and validates the settings of a daemon from a TOML file.
 */
import { readFile } from 'node:fs/promises';
import * as path from 'node:path';
import * as results from '@dogwoodstall/results';
import { findSettingsProblems } from './semantic-checks.js';
import { validateToml, parseTomlText } from './parse-toml.js';
import { settingsSchema, type Settings } from './schema.js';

/** Reads a UTF-8 text file. Throws `SettingsUnreadable` if it cannot be read. */
export async function readTextFile(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    const message = `${file}: the file could not be read (${reason})`;
    throw new results.FailureError('SettingsUnreadable', message, {
      cause: error,
      details: { file },
    });
  }
}

function resolveFiles(settings: Settings, directory: string): Settings {
  const resolve = (file: string): string => path.resolve(directory, file);
  const resolvePair = <Pair extends { certificateFile: string; keyFile: string }>(
    pair: Pair,
  ): Pair => ({
    ...pair,
    certificateFile: resolve(pair.certificateFile),
    keyFile: resolve(pair.keyFile),
  });
  const { callerTls, administrationTls, peerTls, fleet } = settings;
  return {
    ...settings,
    ...(callerTls && { callerTls: resolvePair(callerTls) }),
    ...(administrationTls && { administrationTls: resolvePair(administrationTls) }),
    peerTls: { ...resolvePair(peerTls), authorityFiles: peerTls.authorityFiles.map(resolve) },
    fleet: { ...fleet, keyFiles: fleet.keyFiles.map(resolve) },
  };
}

/**
 * Returns the validated settings of a file. File names in the file are relative to its directory; those
 * in the result are absolute.
 *
 * Throws `SettingsUnreadable`, `SettingsSyntax` or `SettingsInvalid`.
 */
export async function loadSettings(file: string): Promise<Settings> {
  const text = await readTextFile(file);
  const directory = path.dirname(path.resolve(file));
  const value = parseTomlText(text, file);
  const additionalProblems = await findSettingsProblems(value, directory);
  const settings = validateToml({ text, fileName: file, value }, settingsSchema, {
    additionalProblems,
  });
  return resolveFiles(settings, directory);
}
