/**
 * Follows the platform list of live and leaving VMs.
 */
export {
  type Machine,
  type MachineListOptions,
  MachineList,
  machineListSchema,
} from './vm-list-poller.js';
