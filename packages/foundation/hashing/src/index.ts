/**
 * Rendezvous ranking, stable assignment and request fingerprints on xxHash.
 */
export { type StreamHash, createStreamHash, hashText, hashTextShort } from './hash.js';
export { assignGroup, hashFraction, rankMembers } from './rendezvous.js';
