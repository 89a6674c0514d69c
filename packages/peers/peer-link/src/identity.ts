/**
 * TLS identity of daemons: the credentials of a process and the daemon name in a certificate.
 */
import type * as tls from 'node:tls';
import { FailureError } from '@dogwoodstall/results';

/** The TLS credentials of a daemon: certificate, key and authorities in PEM. */
export interface PeerTls {
  readonly certificate: string;
  readonly key: string;
  /** Several during a rotation of authorities. */
  readonly authorities: readonly string[];
}

/** Minimum TLS version between daemons. */
export const MINIMUM_TLS_VERSION = 'TLSv1.2';

/** Returns the common name of a certificate, or an empty string when it has none. */
export function readSubjectName(certificate: tls.PeerCertificate | undefined): string {
  const subject = certificate?.subject as { CN?: string | string[] } | undefined;
  return typeof subject?.CN === 'string' ? subject.CN : '';
}

/** Returns an error unless the certificate has the expected daemon name, or any when none is. */
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
