/**
 * Settings of one process, read from TOML and checked by schema.
 */
export { type Settings, type SettingsInput, settingsSchema } from './schema.js';
export { loadSettings, readTextFile } from './load-settings.js';
export {
  type ValidationOptions,
  type InvalidKind,
  type TomlDocument,
  validateToml,
  parseToml,
  parseTomlText,
} from './parse-toml.js';
export { KeyLines } from './key-lines.js';
export type { KeyPath } from './key-scanner.js';
export { type TomlProblem, formatPath } from './problems.js';
