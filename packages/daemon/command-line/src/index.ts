/**
 * The dogwoodstall command and the client of the administration API.
 */
export { exitCodes, runProgram } from './program.js';
export {
  AdministrationClient,
  type ClientOptions,
  type Rollback,
} from './administration-client.js';
export { AdministrationError } from './administration-error.js';
export type {
  Acceptance,
  EntityDifference,
  EntityPage,
  FleetStatus,
  HistoryPage,
  Preview,
} from './administration-responses.js';
