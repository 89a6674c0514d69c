/**
 * The log of configuration changes in the store: commit, read, watch, snapshot.
 */
export {
  type CommitResult,
  type ConfigurationLogOptions,
  ConfigurationLog,
  MAXIMUM_CHANGE_BYTES,
  SNAPSHOT_INTERVAL,
} from './log.js';
export { type Store, splitOperations } from './snapshot.js';
