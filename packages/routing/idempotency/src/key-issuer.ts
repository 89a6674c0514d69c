/**
 * Idempotency keys: signed tokens that name the only daemon incarnation that may run a request. The
 * lifetime is part of the key, so that a later change of the configured lifetime can't revive a key
 * whose record has already been dropped.
 */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { FailureError } from '@dogwoodstall/results';

const DIGEST_CHARACTERS = 16;
const NONCE_BYTES = 12;
const MAXIMUM_KEY_CHARACTERS = 512;
const MINIMUM_FLEET_KEY_BYTES = 16;
const PART_COUNT = 8;

/** Parameters of a new key. */
export interface KeyRequest {
  /** Name of the daemon that stores the record of the key. */
  readonly home: string;
  readonly incarnation: string;
  readonly organisation: string;
  readonly service: string;
  readonly lifetimeMilliseconds: number;
}

/** The contents of a verified key. */
export interface KeyContents {
  /** The signed part of the key; identifies its record. */
  readonly id: string;
  /** The complete key, including the signature, as the caller sends it. */
  readonly text: string;
  readonly home: string;
  readonly incarnation: string;
  readonly organisationDigest: string;
  readonly service: string;
  readonly issuedAtEpochMilliseconds: number;
  readonly expiresAtEpochMilliseconds: number;
}

/** Options of `KeyIssuer`. */
export interface KeyIssuerOptions {
  /** The first key signs; every key verifies. */
  readonly fleetKeys: readonly Uint8Array[];
  /** Wall clock; `Date.now` by default. */
  readonly epochNow?: () => number;
}

/** Returns the digest that identifies an organisation in a key. */
export function digestOrganisation(organisation: string): string {
  return createHash('sha256').update(organisation).digest('base64url').slice(0, DIGEST_CHARACTERS);
}

function sign(id: string, fleetKey: Uint8Array): string {
  return createHmac('sha256', fleetKey).update(id).digest('base64url');
}

function isSignature(mac: string, id: string, fleetKey: Uint8Array): boolean {
  const expected = Buffer.from(sign(id, fleetKey));
  const given = Buffer.from(mac);
  return given.length === expected.length && timingSafeEqual(given, expected);
}

function checkFleetKeys(fleetKeys: readonly Uint8Array[]): readonly Uint8Array[] {
  if (fleetKeys.length === 0) {
    throw new FailureError('KeyFileInvalid', 'at least one fleet key is required');
  }
  for (const fleetKey of fleetKeys) {
    if (fleetKey.length < MINIMUM_FLEET_KEY_BYTES) {
      const message = `a fleet key must have at least ${MINIMUM_FLEET_KEY_BYTES} bytes`;
      throw new FailureError('KeyFileInvalid', message);
    }
  }
  return fleetKeys;
}

/** Issues and verifies idempotency keys. */
export class KeyIssuer {
  private fleetKeys: readonly Uint8Array[];

  private readonly epochNow: () => number;

  constructor(options: KeyIssuerOptions) {
    this.fleetKeys = checkFleetKeys(options.fleetKeys);
    this.epochNow = options.epochNow ?? Date.now;
  }

  /** Replaces the fleet keys, for example during a rotation. */
  replaceFleetKeys(fleetKeys: readonly Uint8Array[]): void {
    this.fleetKeys = checkFleetKeys(fleetKeys);
  }

  /** Returns a new key, signed with the first fleet key. */
  issue(request: KeyRequest): string {
    const id = [
      request.home,
      request.incarnation,
      digestOrganisation(request.organisation),
      Buffer.from(request.service).toString('base64url'),
      String(this.epochNow()),
      String(request.lifetimeMilliseconds),
      randomBytes(NONCE_BYTES).toString('base64url'),
    ].join('.');
    return `${id}.${sign(id, this.fleetKeys[0] as Uint8Array)}`;
  }

  /** Verifies the signature of a key and returns its contents; throws `KeyInvalid`. */
  verify(text: string): KeyContents {
    const end = text.lastIndexOf('.');
    const parts = text.length > MAXIMUM_KEY_CHARACTERS ? [] : text.split('.');
    if (parts.length !== PART_COUNT) {
      throw new FailureError('KeyInvalid', 'the idempotency key is malformed');
    }
    const id = text.slice(0, end);
    const mac = text.slice(end + 1);
    if (!this.fleetKeys.some((fleetKey) => isSignature(mac, id, fleetKey))) {
      throw new FailureError('KeyInvalid', 'the signature of the idempotency key does not match');
    }
    const [home, incarnation, organisationDigest, service, issuedAt, lifetime] = parts;
    return {
      id,
      text,
      home: home as string,
      incarnation: incarnation as string,
      organisationDigest: organisationDigest as string,
      service: Buffer.from(service as string, 'base64url').toString(),
      issuedAtEpochMilliseconds: Number(issuedAt),
      expiresAtEpochMilliseconds: Number(issuedAt) + Number(lifetime),
    };
  }
}

/** Throws `KeyForeign` unless a key was issued for this organisation and service. */
export function checkKeyOwner(key: KeyContents, organisation: string, service: string): void {
  if (key.service !== service || key.organisationDigest !== digestOrganisation(organisation)) {
    throw new FailureError('KeyForeign');
  }
}
