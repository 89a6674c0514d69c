/**
 * Distributes configuration revisions between daemons and starts daemons from their peers.
 */
export { type SynchroniserOptions, ConfigurationSynchroniser } from './synchroniser.js';
export {
  type Links,
  type ChangeLog,
  type Members,
  type SynchroniserTimings,
  defaultTimings,
} from './dependencies.js';
export type { DistributionStatus, ZoneStatus } from './status.js';
export { WATCHERS_PER_ZONE, isSnapshotWriter, isWatcher, listWatchers } from './watcher-role.js';
