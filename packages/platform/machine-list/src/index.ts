/**
 * Follows the platform list of live and leaving VMs.
 */
export {};
