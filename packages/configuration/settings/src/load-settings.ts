/**
 * Loads the settings of one daemon from a TOML file.
 */
import { readFile } from 'node:fs/promises';
import * as path from 'node:path';
import * as results from '@dogwoodstall/results';
import { findSettingsContradictions } from './semantic-checks.js';
import { validateToml, parseTomlText } from './parse-toml.js';
import { settingsSchema, type Settings } from './schema.js';

/** Returns the text of a file; throws `SettingsUnreadable`. */
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
 * Returns the checked settings in a file. File names in it are relative to its directory and absolute
 * in the result.
 *
 * Throws `SettingsUnreadable`, `SettingsSyntax` or `SettingsInvalid`.
 */
export async function loadSettings(file: string): Promise<Settings> {
  const text = await readTextFile(file);
  const directory = path.dirname(path.resolve(file));
  const value = parseTomlText(text, file);
  const contradictions = await findSettingsContradictions(value, directory);
  const settings = validateToml({ text, fileName: file, value }, settingsSchema, {
    additionalProblems: contradictions,
  });
  return resolveFiles(settings, directory);
}
