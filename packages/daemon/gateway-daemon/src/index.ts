/**
 * The gateway daemon: proxies the HTTP traffic of callers transparently to the endpoints of services.
 */
export { type StartSettings, SettingsFile, loadStartSettings } from './settings-file.js';
export { type GatewayDaemonOptions, GatewayDaemon } from './gateway-daemon.js';
export { type ErrorSource, recordUnhandledErrors } from './unhandled-errors.js';
export { type SideTask, SideTaskErrors } from './side-task-errors.js';
export { readProcessDescriptorLimit } from './descriptor-limit.js';
export { type GatewaySettings, gatewaySettingsSchema, loadGatewaySettings } from './settings.js';
export { type Member, memberSchema } from './member.js';
export {
  type DirectorySource,
  type EndpointChange,
  type EndpointChanges,
  type StoredCrashRecord,
  type VersionedConfiguration,
  type VersionedCrashRecords,
  storedCrashRecordSchema,
} from './directory-source.js';
export type { StorePosition } from './store-position.js';
