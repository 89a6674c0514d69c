/**
 * Fingerprints of requests: for the crash guard, and to tell a resend from another request.
 */
import { type Fingerprint, createFingerprint } from '@dogwoodstall/crash-guard';
import { createStreamHash } from '@dogwoodstall/hashing';
import type { Exchange } from './exchange.js';

const RADIX = 36;
const SEPARATOR = '\u0000';

function hashParts(parts: readonly string[], body: Buffer | undefined): string {
  const hash = createStreamHash().update(parts.join(SEPARATOR));
  if (body !== undefined) {
    hash.update(SEPARATOR).update(body);
  }
  return hash.digest().toString(RADIX);
}

/** Fingerprint of the work that a request causes: organisation, route, key, target and small body. */
export function createCrashFingerprint(exchange: Exchange): Fingerprint {
  const { context, body } = exchange;
  const parts = [context.method, context.target, String(body.length ?? '')];
  return createFingerprint({
    organisation: context.organisation,
    routeName: context.route.name,
    idempotencyKey: context.idempotencyKey ?? '',
    // The fingerprint hashes this text again, so that only a body is worth a hash of its own.
    bodyDigest: body.buffered?.length ? hashParts(parts, body.buffered) : parts.join(SEPARATOR),
  });
}

/** Fingerprint of a request apart from its key: the same for each resend. */
export function createResendFingerprint(exchange: Exchange): string {
  const { context, body } = exchange;
  const parts = [context.route.name, context.method, context.target, String(body.length ?? '')];
  return hashParts(parts, body.buffered);
}
