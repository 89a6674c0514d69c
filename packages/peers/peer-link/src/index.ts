/**
 * tRPC server and client for calls between daemons over mutual TLS.
 */
export type { PeerTls } from './identity.js';
export { type CallOptions, type PeerTarget, PeerLink } from './link.js';
export { PeerLinks } from './links.js';
export {
  type Caller,
  type SuspicionUpdate,
  type KeyHome,
  type MemberUpdate,
  type PeerHandlers,
  type ProcedureInput,
  type ProcedureName,
  type ProcedureOutput,
  type RevisionGroup,
  memberUpdateSchema,
  procedures,
} from './messages.js';
export {
  type ForwardHandler,
  type PeerServerOptions,
  type PeerTraffic,
  PeerServer,
} from './server.js';
