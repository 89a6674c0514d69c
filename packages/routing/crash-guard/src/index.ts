/**
 * Recognises requests that crash backend servers.
 */
export { type Fingerprint, type RequestIdentity, createFingerprint } from './fingerprint.js';
export type { CrashEntry } from './entries.js';
export {
  type AttemptEnd,
  type CrashGuardOptions,
  type GuardedAttempt,
  CrashGuard,
} from './guard.js';
