/**
 * What attempts need of a caller's request: the headers that are forwarded, and what identifies it if it comes again.
 */
import type { IncomingMessage } from 'node:http';
import * as hashing from '@dogwoodstall/hashing';
import * as proxy from '@dogwoodstall/proxy';
import type { WireProtocol } from './wire-protocol.js';

const FINGERPRINT_RADIX = 36;

/**
 * Returns the headers to forward as a flat list of names and values, without those that each attempt sets and, if the
 * configuration has organisations, without those that carry tokens.
 */
export function selectForwardedHeaders(
  { rawHeaders }: IncomingMessage,
  { ownedRequestHeaders, organisationHeaders }: WireProtocol,
  hasOrganisations: boolean,
): string[] {
  const all = proxy.selectRequestHeaders(rawHeaders);
  const selected: string[] = [];
  for (let index = 0; index < all.length; index += 2) {
    const name = all[index] as string;
    const owned =
      ownedRequestHeaders.has(name) || (hasOrganisations && organisationHeaders.has(name));
    // undici sets the length of the buffered body itself.
    if (!owned && name !== 'content-length') {
      selected.push(name, all[index + 1] as string);
    }
  }
  return selected;
}

/** Returns the same text for a request that the same caller sends again. */
export function computeFingerprint(request: IncomingMessage, body: Buffer | null): string {
  const hash = hashing
    .createStreamHash64()
    .update(`${request.socket.remoteAddress} ${request.method} ${request.headers.host}`)
    .update(request.url ?? '');
  if (body !== null) {
    hash.update(body);
  }
  return hash.digest().toString(FINGERPRINT_RADIX);
}
