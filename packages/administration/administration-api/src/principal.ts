/**
 * Authentication by bearer token: operators of the fleet and administrators of one organisation.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';

/** The authenticated holder of a token. */
export type Principal =
  { readonly kind: 'operator' } | { readonly kind: 'organisation'; readonly organisation: string };

type OrganisationsByDigest = ReadonlyMap<string, string>;

const BEARER_TOKEN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** Returns the SHA-256 digest of a token in hexadecimal. */
export function digestToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

function isSameDigest(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

function indexAdministrators(
  organisations: ReadonlyMap<string, model.Organisation>,
): OrganisationsByDigest {
  const index = new Map<string, string>();
  const ambiguous = new Set<string>();
  for (const organisation of organisations.values()) {
    for (const digest of organisation.administratorTokenDigests) {
      if (index.has(digest) && index.get(digest) !== organisation.name) {
        ambiguous.add(digest);
      }
      index.set(digest, organisation.name);
    }
  }
  // A token listed by two organisations grants authority over neither.
  for (const digest of ambiguous) {
    index.delete(digest);
  }
  return index;
}

/** Authenticates requests by their token. */
export class Authenticator {
  // Building the index takes milliseconds for 31,000 organisations, so it is cached as long as
  // their map exists.
  private readonly digestIndexes = new WeakMap<object, OrganisationsByDigest>();

  constructor(private readonly operatorTokenDigests: readonly string[]) {}

  /**
   * Returns the principal of an `Authorization` header.
   *
   * Throws `AdministrationUnauthenticated`, or `ConfigurationUnavailable` when the token may be one
   * of an organisation and no configuration is known yet.
   */
  authenticate(
    authorization: string | undefined,
    configuration: model.Configuration | undefined,
  ): Principal {
    const token = BEARER_TOKEN.exec(authorization ?? '')?.[1];
    if (token === undefined) {
      throw new results.FailureError('AdministrationUnauthenticated');
    }
    const digest = digestToken(token);
    if (this.isOperator(digest)) {
      return { kind: 'operator' };
    }
    if (configuration === undefined) {
      throw new results.FailureError('ConfigurationUnavailable', 'no configuration is known yet');
    }
    const organisation = this.findOrganisation(digest, configuration);
    if (organisation === undefined) {
      throw new results.FailureError('AdministrationUnauthenticated');
    }
    return { kind: 'organisation', organisation };
  }

  // Compares with every digest, so that the response time does not reveal which one matched.
  private isOperator(digest: string): boolean {
    let isFound = false;
    for (const known of this.operatorTokenDigests) {
      isFound = isSameDigest(known, digest) || isFound;
    }
    return isFound;
  }

  // The lookup uses the digest, whose bytes a client can not choose, so its duration reveals
  // nothing about a token.
  private findOrganisation(
    digest: string,
    { organisations }: model.Configuration,
  ): string | undefined {
    let index = this.digestIndexes.get(organisations);
    if (index === undefined) {
      index = indexAdministrators(organisations);
      this.digestIndexes.set(organisations, index);
    }
    return index.get(digest);
  }
}
