/**
 * The log of configuration changes in the store: commits, reads and watches changes, writes snapshots.
 */
export {
  type CommitResult,
  type ConfigurationLogOptions,
  ConfigurationLog,
  MAXIMUM_CHANGE_BYTES,
  SNAPSHOT_INTERVAL,
} from './log.js';
export { type Store, splitOperations } from './snapshot.js';
