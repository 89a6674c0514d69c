/**
 * Detects lost backend servers and recognises the requests that crash them.
 */
export { type Fingerprint, type RequestIdentity, createFingerprint } from './fingerprint.js';
export type { CrashEntry } from './crash-entries.js';
export type { AttemptResult, TrackedAttempt } from './endpoint-loss-detector.js';
export { type CrashGuardOptions, CrashGuard } from './crash-guard.js';
