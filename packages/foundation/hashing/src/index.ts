/**
 * Hash functions and rendezvous hashing, based on xxHash.
 */
export { type StreamHash, createStreamHash64, hashText64, hashText32 } from './hash.js';
export { assignGroup, hashToUnitInterval, rankMembers, ranksBefore } from './rendezvous.js';
