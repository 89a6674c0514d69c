/**
 * Reads certificates, private keys and fleet keys from the files that the settings name.
 */
import { X509Certificate } from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as tls from 'node:tls';
import type * as peerLink from '@dogwoodstall/peer-link';
import type * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import type * as settings from '@dogwoodstall/settings';

const CERTIFICATE_PATTERN = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;

interface KeyPairFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
}

async function readCredentialFile(file: string): Promise<string> {
  try {
    return await fs.readFile(file, 'utf8');
  } catch (error) {
    throw new results.FailureError('KeyFileInvalid', `${file} could not be read`, { cause: error });
  }
}

// Checked before any port uses the files, so that a reload is all or nothing.
function checkKeyPair(files: KeyPairFiles, options: tls.SecureContextOptions): void {
  try {
    tls.createSecureContext(options);
  } catch (error) {
    const message = `${files.certificateFile} and ${files.keyFile} are not a certificate and its private key`;
    throw new results.FailureError('KeyFileInvalid', message, { cause: error });
  }
}

/** Reads a certificate and its private key; throws `KeyFileInvalid`. */
export async function readKeyPair(files: KeyPairFiles): Promise<proxy.TlsCredentials> {
  const certificate = await readCredentialFile(files.certificateFile);
  const key = await readCredentialFile(files.keyFile);
  checkKeyPair(files, { cert: certificate, key });
  return { certificate, key };
}

// A secure context accepts a file without a certificate silently and then trusts no peer, hence the check.
// Certificates that were concatenated without a line break between them are read as well.
async function readAuthorities(file: string): Promise<string[]> {
  const text = await readCredentialFile(file);
  const certificates = text.match(CERTIFICATE_PATTERN) ?? [];
  try {
    certificates.forEach((certificate) => new X509Certificate(certificate));
  } catch (error) {
    const message = `${file} contains an invalid certificate`;
    throw new results.FailureError('KeyFileInvalid', message, { cause: error });
  }
  if (certificates.length === 0) {
    throw new results.FailureError('KeyFileInvalid', `${file} contains no certificate`);
  }
  return certificates;
}

/** Reads the TLS credentials of the links between daemons; throws `KeyFileInvalid`. */
export async function readPeerTls(files: settings.Settings['peerTls']): Promise<peerLink.PeerTls> {
  const certificate = await readCredentialFile(files.certificateFile);
  const key = await readCredentialFile(files.keyFile);
  const authorities = (await Promise.all(files.authorityFiles.map(readAuthorities))).flat();
  checkKeyPair(files, { cert: certificate, key, ca: authorities });
  return { certificate, key, authorities };
}

/** Reads the fleet's signing keys, one hexadecimal line per file; throws `KeyFileInvalid`. */
export async function readFleetKeys(files: readonly string[]): Promise<Buffer[]> {
  const keys: Buffer[] = [];
  for (const file of files) {
    const text = (await readCredentialFile(file)).trim();
    if (!/^([0-9a-f]{2}){16,}$/.test(text)) {
      const message = `${file} must contain at least 16 bytes in hexadecimal`;
      throw new results.FailureError('KeyFileInvalid', message);
    }
    keys.push(Buffer.from(text, 'hex'));
  }
  return keys;
}
