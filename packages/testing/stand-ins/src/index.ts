/**
 * Stand-ins for the platform's services and for backend servers, and a fault-injecting TCP proxy.
 */
export { StoreStandIn, type StoreOptions } from './store/store.js';
export { type CallKind, type StoreFaults } from './store/faults.js';
export { type ContentStatus, ContentVerifier, createContent } from './backend/content.js';
export { SummaryVerifier, createVerifier } from './backend/response-verifier.js';
export { type BackendCounters } from './backend/counters.js';
export { type BackendServerOptions, BackendServerStandIn } from './backend/backend-server.js';
export { type BackendFaults } from './backend/faults.js';
export { type ExecutionStart, type KeyExecutions, ExecutionLog } from './backend/execution-log.js';
export { type BackendListing, BackendGroup } from './backend/group.js';
export { ControlServer, type ControlHandlers, parseAddress } from './control-server.js';
export { type LoadBalancerOptions, LoadBalancerStandIn } from './network/load-balancer.js';
export { LoopbackNetwork } from './network/loopback-network.js';
export { FaultLink, type LinkFaults } from './network/fault-link.js';
export { FaultProxy } from './network/fault-proxy.js';
export { SilentAddress } from './network/silent-address.js';
export { type ListedVm, VmListStandIn } from './network/vm-list.js';
export { type CertificateFiles, CertificateAuthority } from './certificates.js';
