/**
 * The `dogwoodstall` command and the client of the administration API.
 */
export { exitCodes, runProgram } from './program.js';
export {
  AdministrationClient,
  type ClientOptions,
  type RollbackRequest,
} from './administration-client.js';
export { AdministrationError } from './administration-error.js';
export type {
  SubmissionResult,
  EntityDifference,
  EntityPage,
  FleetStatus,
  HistoryPage,
  Preview,
} from './administration-responses.js';
