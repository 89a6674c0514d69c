/**
 * Schemas and types of the configuration, its validation, its route table and its dispatch cells.
 */
export {
  type BackendServer,
  type Contract,
  type EntityByKind,
  type EntityKind,
  type Organisation,
  type Route,
  type Service,
  type SizeClass,
  type Zone,
  backendServerSchema,
  contractSchema,
  entitySchemas,
  organisationSchema,
  routeSchema,
  serviceSchema,
  sizeClassSchema,
  zoneSchema,
} from './entities.js';
export {
  type Change,
  type ChangeDraft,
  type ChangeDraftInput,
  type Operation,
  changeDraftSchema,
  changeSchema,
  operationSchema,
} from './change.js';
export { Configuration } from './configuration.js';
export { RouteTable } from './route-table.js';
export { type ConfigurationProblem, validateConfiguration } from './validation.js';
export { type Cell, MAXIMUM_CELL_SLOTS, formatCellName, listCells } from './cell.js';
