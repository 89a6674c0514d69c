/**
 * Creates a certificate authority and daemon certificates for mutual TLS in tests, as PEM files.
 * Every daemon certificate is valid for 127.0.0.1, for server and client authentication.
 */
import * as fileSystem from 'node:fs/promises';
import * as path from 'node:path';
import * as selfsigned from 'selfsigned';

const PRIVATE_FILE_MODE = 0o600;
const CLOCK_TOLERANCE_MILLISECONDS = 60_000;

/** Paths of the PEM files of one daemon. */
export interface CertificateFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
  readonly authorityFile: string;
}

function createOptions(): selfsigned.SelfsignedOptions {
  return {
    keyType: 'ec',
    curve: 'P-256',
    algorithm: 'sha256',
    notBeforeDate: new Date(Date.now() - CLOCK_TOLERANCE_MILLISECONDS),
  };
}

/** Signs the certificates of one fleet. Certificates of different authorities are not trusted. */
export class CertificateAuthority {
  private readonly directory: string;

  private readonly keyPair: { readonly key: string; readonly cert: string };

  private constructor(directory: string, keyPair: { key: string; cert: string }) {
    this.directory = directory;
    this.keyPair = keyPair;
  }

  /** Creates an authority that writes its files to an existing directory. */
  static async create(directory: string, name = 'authority'): Promise<CertificateAuthority> {
    const pems = await selfsigned.generate([{ name: 'commonName', value: name }], {
      ...createOptions(),
      extensions: [
        { name: 'basicConstraints', cA: true, critical: true },
        { name: 'keyUsage', keyCertSign: true, cRLSign: true, critical: true },
      ],
    });
    const authority = new CertificateAuthority(directory, { key: pems.private, cert: pems.cert });
    await fileSystem.writeFile(authority.authorityFile, pems.cert);
    return authority;
  }

  /** Path of the PEM file with the certificate of the authority. */
  get authorityFile(): string {
    return path.join(this.directory, 'authority.pem');
  }

  /** Creates the certificate and the private key of one daemon. */
  async issue(name: string): Promise<CertificateFiles> {
    const pems = await selfsigned.generate([{ name: 'commonName', value: name }], {
      ...createOptions(),
      ca: this.keyPair,
      extensions: [
        { name: 'basicConstraints', cA: false },
        { name: 'keyUsage', digitalSignature: true },
        { name: 'extKeyUsage', serverAuth: true, clientAuth: true },
        { name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] },
      ],
    });
    const certificateFile = path.join(this.directory, `${name}.pem`);
    const keyFile = path.join(this.directory, `${name}-key.pem`);
    await fileSystem.writeFile(certificateFile, pems.cert);
    await fileSystem.writeFile(keyFile, pems.private, { mode: PRIVATE_FILE_MODE });
    return { certificateFile, keyFile, authorityFile: this.authorityFile };
  }
}
