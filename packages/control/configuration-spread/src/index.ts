/**
 * Spreads configuration revisions between daemons and starts a daemon from its peers.
 */
export { type KeeperOptions, ConfigurationKeeper } from './synchroniser.js';
export { type Links, type Log, type Members, type SpreadTimings, defaultTimings } from './dependencies.js';
export type { SpreadStatus, ZoneStatus } from './status.js';
export { WATCHERS_PER_ZONE, isSnapshotWriter, isWatcher, listWatchers } from './watcher-role.js';
