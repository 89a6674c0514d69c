/**
 * Organisations whose callers authenticate with tokens. Daemons know only the digests of tokens, so that neither their
 * memory nor the state that they exchange reveals one.
 */
import * as crypto from 'node:crypto';
import * as z from 'zod';

const DIGEST_BYTES = 16;
/** Names are sent as the value of a header. */
const NAME_PATTERN = /^[\x21-\x7e]([\x20-\x7e]{0,253}[\x21-\x7e])?$/;

/** An organisation, its tokens and its usage cap. */
export const organisationSchema = z.object({
  name: z.string().regex(NAME_PATTERN),
  /** Digests of the tokens of its callers, as returned by `digestToken`. */
  tokenDigests: z.array(z.string()),
  /** Priority of its requests, which goes before that of the route; 0 is served first. */
  priority: z.number().int().nonnegative().optional(),
  /** Requests per second that all daemons together accept; 0 for no limit. */
  requestsPerSecond: z.number().nonnegative(),
  /** Requests that are accepted at once on top of the rate. */
  burst: z.number().nonnegative(),
});

export type Organisation = z.infer<typeof organisationSchema>;

/** Returns the digest of a token, by which it is stored and compared. */
export function digestToken(token: string): string {
  const digest = crypto.createHash('sha256').update(token).digest();
  return digest.subarray(0, DIGEST_BYTES).toString('base64url');
}

/** The organisations of a configuration, by token and by name. */
export class OrganisationIndex {
  private readonly byDigest = new Map<string, Organisation>();

  private readonly byName = new Map<string, Organisation>();

  constructor(organisations: readonly Organisation[]) {
    for (const organisation of organisations) {
      this.byName.set(organisation.name, organisation);
      for (const digest of organisation.tokenDigests) {
        this.byDigest.set(digest, organisation);
      }
    }
  }

  /** Returns the organisation that a token belongs to. */
  findByToken(token: string): Organisation | undefined {
    return this.byDigest.get(digestToken(token));
  }

  findByName(name: string): Organisation | undefined {
    return this.byName.get(name);
  }
}
