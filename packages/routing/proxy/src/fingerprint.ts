/**
 * Fingerprints of requests: for the crash guard, and to tell a resend from another request.
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

/** Fingerprint of the work that a request causes: organisation, route, key, target and small body. */
export function fingerprintWork(exchange: Exchange): Fingerprint {
  const { facts, body } = exchange;
  const parts = [facts.method, facts.target, String(body.length ?? '')];
  return createFingerprint({
    organisation: facts.organisation,
    routeName: facts.route.name,
    idempotencyKey: facts.idempotencyKey ?? '',
    // The fingerprint hashes this text again, so that only a body is worth a hash of its own.
    bodyDigest: body.kept?.length ? hashParts(parts, body.kept) : parts.join(SEPARATOR),
  });
}

/** Fingerprint of a request apart from its key: the same for each resend. */
export function fingerprintRequest(exchange: Exchange): string {
  const { facts, body } = exchange;
  const parts = [facts.route.name, facts.method, facts.target, String(body.length ?? '')];
  return hashParts(parts, body.kept);
}
