/**
 * SWIM membership: probes, suspicions, incarnations and leaving members.
 */
export { type Member, Membership } from './membership.js';
export type { MembershipOptions } from './options.js';
export type { ListedVm } from './rejoiner.js';
export { compareUpdates, mergeUpdate } from './merge.js';
export { type Gossip, MemberTable } from './member-table.js';
export type { MembershipLinks } from './prober.js';
export { digestMember } from './member-digests.js';
export { SeededRandom } from './random.js';
export { type MembershipTimings, defaultTimings } from './timings.js';
