/**
 * Polls the platform's list of live and leaving VMs.
 */
export { type Vm, type VmListPollerOptions, VmListPoller, vmListSchema } from './vm-list-poller.js';
