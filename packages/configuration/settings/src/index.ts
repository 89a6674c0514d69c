/**
 * Settings of one process, read from TOML and checked by schema.
 */
export { type Settings, type SettingsInput, settingsSchema } from './schema.js';
