/**
 * SWIM membership: probes, suspicion, incarnations, leaving.
 */
export {
  type ListedMachine,
  type Member,
  type MembershipOptions,
  Membership,
} from './membership.js';
export { compareUpdates, mergeUpdate } from './merge.js';
export { type Gossip, MemberTable } from './member-table.js';
export type { MembershipLinks } from './prober.js';
export { RandomChoice } from './random.js';
export { type MembershipTimings, defaultTimings } from './timings.js';
