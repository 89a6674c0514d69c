/**
 * Certificates of daemons: the credentials of one process, and the name that a certificate states.
 */
import type * as tls from 'node:tls';
import { FailureError } from '@dogwoodstall/results';

/** Certificate, key and authorities in PEM. */
export interface PeerTls {
  readonly certificate: string;
  readonly key: string;
  /** More than one while authorities are rotated. */
  readonly authorities: readonly string[];
}

/** Oldest TLS version between daemons. */
export const MINIMUM_TLS_VERSION = 'TLSv1.2';

/** Returns the common name of a certificate, empty when it has none. */
export function readSubjectName(certificate: tls.PeerCertificate | undefined): string {
  const subject = certificate?.subject as { CN?: string | string[] } | undefined;
  return typeof subject?.CN === 'string' ? subject.CN : '';
}

/** Returns an error unless the certificate carries the expected daemon name, if one is expected. */
export function checkPeerName(
  expected: string | undefined,
  certificate: tls.PeerCertificate,
): FailureError | undefined {
  const actual = readSubjectName(certificate);
  if (actual !== '' && (expected === undefined || actual === expected)) {
    return undefined;
  }
  const message = `the certificate names "${actual}", expected "${expected ?? 'a daemon'}"`;
  return new FailureError('PeerUnauthenticated', message);
}
