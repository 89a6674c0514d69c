/**
 * Request fingerprints for the crash guard and for idempotency records, where a resend must match the
 * original request.
 */
import { type Fingerprint, createFingerprint } from '@dogwoodstall/crash-guard';
import { createStreamHash64 } from '@dogwoodstall/hashing';
import type { Exchange } from './exchange.js';

const RADIX = 36;
const SEPARATOR = '\u0000';

function hashParts(parts: readonly string[], body: Buffer | undefined): string {
  const hash = createStreamHash64().update(parts.join(SEPARATOR));
  if (body !== undefined) {
    hash.update(SEPARATOR).update(body);
  }
  return hash.digest().toString(RADIX);
}

/** Fingerprint for the crash guard: organisation, route, idempotency key, target and buffered body. */
export function createCrashFingerprint(exchange: Exchange): Fingerprint {
  const { context, body } = exchange;
  const parts = [context.method, context.target, String(body.length ?? '')];
  return createFingerprint({
    organisation: context.organisation,
    routeName: context.route.name,
    idempotencyKey: context.idempotencyKey ?? '',
    // `createFingerprint` hashes this text again, so only a body is hashed beforehand.
    bodyDigest: body.buffered?.length ? hashParts(parts, body.buffered) : parts.join(SEPARATOR),
  });
}

/** Fingerprint without the idempotency key; equal for each resend of a request. */
export function createResendFingerprint(exchange: Exchange): string {
  const { context, body } = exchange;
  const parts = [context.route.name, context.method, context.target, String(body.length ?? '')];
  return hashParts(parts, body.buffered);
}
