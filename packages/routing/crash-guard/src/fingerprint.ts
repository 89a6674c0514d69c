/**
 * Request fingerprints, by which a request is recognised when its caller resends it.
 */
import * as hashing from '@dogwoodstall/hashing';

/** The properties that identify a request. */
export interface RequestIdentity {
  readonly organisation: string;
  readonly routeName: string;
  /** The idempotency key, or an empty string. */
  readonly idempotencyKey: string;
  /** Digest of the request body, or an empty string. */
  readonly bodyDigest: string;
}

/**
 * The fingerprint of a request. The organisation is kept beside the digest, so that requests of one
 * organisation cannot cause refusals for another.
 */
export interface Fingerprint {
  readonly organisation: string;
  readonly digest: string;
}

/** Computes the fingerprint of a request. */
export function createFingerprint(identity: RequestIdentity): Fingerprint {
  const parts = [
    identity.organisation,
    identity.routeName,
    identity.idempotencyKey,
    identity.bodyDigest,
  ];
  const digest = hashing.hashText64(JSON.stringify(parts)).toString(16);
  return { organisation: identity.organisation, digest };
}
