/**
 * Semantic checks of settings that the schema cannot express: colliding addresses, duplicate list
 * entries and missing files. The checks run on the document before it is validated against the
 * schema, so that any value may be absent or of another type.
 */
import { access, constants } from 'node:fs/promises';
import * as net from 'node:net';
import * as path from 'node:path';
import type { KeyPath } from './key-scanner.js';
import { formatPath, type TomlProblem } from './problems.js';

const MAXIMUM_PORT = 65_535;

// Settings that contain one file name.
const fileSettings: readonly KeyPath[] = [
  ['callerTls', 'certificateFile'],
  ['callerTls', 'keyFile'],
  ['administrationTls', 'certificateFile'],
  ['administrationTls', 'keyFile'],
  ['peerTls', 'certificateFile'],
  ['peerTls', 'keyFile'],
];

// Settings that contain a list of file names.
const fileListSettings: readonly KeyPath[] = [
  ['peerTls', 'authorityFiles'],
  ['fleet', 'keyFiles'],
];

const listenSettings: readonly KeyPath[] = [
  ['listen', 'caller'],
  ['listen', 'peer'],
  ['listen', 'administration'],
];

const remoteAddressSettings: readonly KeyPath[] = [['peerAddress'], ['machineList', 'address']];

const remoteAddressListSettings: readonly KeyPath[] = [
  ['store', 'addresses'],
  ['fleet', 'seeds'],
];

interface LocatedText {
  readonly path: KeyPath;
  readonly text: string;
}

function readValue(document: unknown, keyPath: KeyPath): unknown {
  let value = document;
  for (const part of keyPath) {
    if (typeof value !== 'object' || value === null) {
      return undefined;
    }
    value = (value as Record<string | number, unknown>)[part];
  }
  return value;
}

function collectTexts(
  document: unknown,
  valuePaths: readonly KeyPath[],
  listPaths: readonly KeyPath[],
): LocatedText[] {
  const paths = [...valuePaths];
  for (const list of listPaths) {
    const value = readValue(document, list);
    if (Array.isArray(value)) {
      paths.push(...value.map((_, index) => [...list, index]));
    }
  }
  const texts: LocatedText[] = [];
  for (const keyPath of paths) {
    const text = readValue(document, keyPath);
    if (typeof text === 'string' && text !== '') {
      texts.push({ path: keyPath, text });
    }
  }
  return texts;
}

function splitAddress(address: string): { host: string; port: number } | undefined {
  const match = /^\[?([0-9a-fA-F:.]+?)\]?:(\d{1,5})$/.exec(address);
  return match === null ? undefined : { host: match[1] ?? '', port: Number(match[2]) };
}

function isWildcard(host: string): boolean {
  return host === '0.0.0.0' || host === '::';
}

function checkAddress({ path: keyPath, text }: LocatedText, isRemote: boolean): TomlProblem[] {
  const address = splitAddress(text);
  if (address === undefined) {
    return [];
  }
  if (net.isIP(address.host) === 0) {
    return [{ path: keyPath, message: `"${address.host}" is not an IP address` }];
  }
  if (address.port > MAXIMUM_PORT || (isRemote && address.port === 0)) {
    const lowest = isRemote ? 1 : 0;
    return [{ path: keyPath, message: `expected a port from ${lowest} to ${MAXIMUM_PORT}` }];
  }
  if (isRemote && isWildcard(address.host)) {
    const message = 'expected an address that other hosts can reach, not a wildcard address';
    return [{ path: keyPath, message }];
  }
  return [];
}

function findAddressCollisions(listenAddresses: readonly LocatedText[]): TomlProblem[] {
  const problems: TomlProblem[] = [];
  for (const [index, later] of listenAddresses.entries()) {
    const address = splitAddress(later.text);
    for (const earlier of listenAddresses.slice(0, index)) {
      const other = splitAddress(earlier.text);
      const isSamePort =
        address !== undefined && address.port !== 0 && address.port === other?.port;
      const isSameHost =
        isSamePort &&
        (address.host === other?.host || isWildcard(address.host) || isWildcard(other?.host ?? ''));
      if (isSameHost) {
        const message = `expected an address different from ${formatPath(earlier.path)}`;
        problems.push({ path: later.path, message: `${message}, both use port ${address.port}` });
      }
    }
  }
  return problems;
}

function checkPeerAddress(document: unknown): TomlProblem[] {
  const listen = readValue(document, ['listen', 'peer']);
  const isMissing = readValue(document, ['peerAddress']) === undefined;
  if (typeof listen !== 'string' || !isMissing || !isWildcard(splitAddress(listen)?.host ?? '')) {
    return [];
  }
  const message =
    'a wildcard address requires the setting peerAddress, which other daemons connect to';
  return [{ path: ['listen', 'peer'], message }];
}

function findDuplicates(texts: readonly LocatedText[]): TomlProblem[] {
  const problems: TomlProblem[] = [];
  const seen = new Set<string>();
  for (const { path: keyPath, text } of texts) {
    const key = `${formatPath(keyPath.slice(0, -1))} ${text}`;
    if (seen.has(key)) {
      problems.push({ path: keyPath, message: `"${text}" is listed twice` });
    }
    seen.add(key);
  }
  return problems;
}

async function checkFileIsReadable(
  { path: keyPath, text }: LocatedText,
  directory: string,
): Promise<TomlProblem[]> {
  const file = path.resolve(directory, text);
  try {
    await access(file, constants.R_OK);
    return [];
  } catch {
    return [{ path: keyPath, message: `the file ${file} does not exist or cannot be read` }];
  }
}

/** Returns the semantic problems of a settings document; file names are relative to `directory`. */
export async function findSettingsProblems(
  document: unknown,
  directory: string,
): Promise<TomlProblem[]> {
  const listenAddresses = collectTexts(document, listenSettings, []);
  const remoteAddresses = collectTexts(document, remoteAddressSettings, remoteAddressListSettings);
  const files = collectTexts(document, fileSettings, fileListSettings);
  const lists = collectTexts(document, [], [...remoteAddressListSettings, ...fileListSettings]);
  const fileProblems = await Promise.all(
    files.map(async (file) => checkFileIsReadable(file, directory)),
  );
  return [
    ...listenAddresses.flatMap((address) => checkAddress(address, false)),
    ...remoteAddresses.flatMap((remote) => checkAddress(remote, true)),
    ...findAddressCollisions(listenAddresses),
    ...checkPeerAddress(document),
    ...findDuplicates(lists),
    ...fileProblems.flat(),
  ];
}
