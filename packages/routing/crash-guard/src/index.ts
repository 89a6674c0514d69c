/**
 * Recognises requests that crash backend servers.
 */
export { type Fingerprint, type RequestIdentity, createFingerprint } from './fingerprint.js';
export type { CrashEntry } from './entries.js';
export type { AttemptEnd, GuardedAttempt } from './endpoint-losses.js';
export { type CrashGuardOptions, CrashGuard } from './guard.js';
