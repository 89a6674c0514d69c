/**
 * Measurements, the local example fleet and reports.
 */
export { checkFleet, createRouteClasses } from './check.js';
export { formatCurlCommand } from './curl-command.js';
export { type Example, readExample } from './example.js';
export { ControlClient } from './fleet/control-client.js';
export { DaemonProcess } from './fleet/daemon-process.js';
export { callerTokenOf, createFirstChange, digestToken } from './fleet/first-change.js';
export {
  type FleetExecutions,
  type LocalFleetOptions,
  LocalFleet,
  OPERATOR_TOKEN,
} from './fleet/local-fleet.js';
export {
  ManagedProcess,
  type ExitStatus,
  createDirectory,
  removeDirectory,
} from './fleet/managed-process.js';
export { InvariantBook } from './randomised/invariant-book.js';
export { type StandInProcess, startBackends, startStandIn } from './fleet/stand-in-process.js';
export { type ServiceDescription, type Topology, createExampleTopology } from './fleet/topology.js';
export {
  type Figures,
  type Measurement,
  type MeasurementContext,
  loadMeasurements,
  roundFigure,
} from './measurement.js';
