import * as assert from 'node:assert/strict';
import * as fileSystem from 'node:fs/promises';
import * as operatingSystem from 'node:os';
import * as path from 'node:path';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import * as tls from 'node:tls';
import * as settings from '@dogwoodstall/settings';
import * as standIns from '@dogwoodstall/stand-ins';
import * as toml from 'smol-toml';
import * as measure from '../src/index.js';

const POLL_MILLISECONDS = 50;

function createTopology(): measure.Topology {
  const example = measure.createExampleTopology();
  return { ...example, zones: example.zones.slice(0, 1), daemonsPerZone: 2 };
}

function splitAddress(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}

/** Sends a forwarded request over TLS and returns the data received until the connection closes. */
function forwardRaw(address: string, identity: tls.ConnectionOptions): Promise<string> {
  return new Promise((resolve) => {
    const options = { ...splitAddress(address), ...identity, checkServerIdentity: () => undefined };
    const socket = tls.connect(options, () =>
      socket.write('GET /forward/prices/1 HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n'),
    );
    let received = '';
    socket.on('data', (data: Buffer) => {
      received += data.toString();
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
  });
}

async function readIdentity(files: standIns.CertificateFiles): Promise<tls.ConnectionOptions> {
  return {
    cert: await fileSystem.readFile(files.certificateFile),
    key: await fileSystem.readFile(files.keyFile),
  };
}

test('the peer port accepts forwarded requests only from daemons, authenticated by mutual TLS', async () => {
  const directory = await fileSystem.mkdtemp(path.join(operatingSystem.tmpdir(), 'tls-test-'));
  const stranger = await standIns.CertificateAuthority.create(directory, 'stranger');
  const fleet = await measure.LocalFleet.start({ topology: createTopology(), seed: 1 });
  try {
    const [daemon] = fleet.daemons;
    assert.ok(daemon);
    const text = await fileSystem.readFile(daemon.settingsFile, 'utf8');
    const { listen, peerTls } = settings.settingsSchema.parse(toml.parse(text));
    const ca = await fileSystem.readFile(peerTls.authorityFiles[0] ?? '');
    const own = await readIdentity({ ...peerTls, authorityFile: '' });
    const foreign = await readIdentity(await stranger.issue(daemon.name));
    assert.equal(await forwardRaw(listen.peer, { ca }), '');
    assert.equal(await forwardRaw(listen.peer, { ca, ...foreign }), '');
    // With a valid certificate the request is parsed and gets a result code.
    assert.match(await forwardRaw(listen.peer, { ca, ...own }), /Dogwoodstall-Result: \d+\r\n/);
    const { passed, report } = await measure.checkFleet(fleet, 1);
    assert.equal(passed, true, report);
  } finally {
    await fleet.stop();
    await fileSystem.rm(directory, { recursive: true });
  }
});

function readServedCertificate(address: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const options = { ...splitAddress(address), rejectUnauthorized: false };
    const socket = tls.connect(options, () => {
      resolve(socket.getPeerCertificate().fingerprint256);
      socket.destroy();
    });
    socket.on('error', reject);
  });
}

test('SIGHUP activates a new certificate and keeps open connections', async () => {
  const directory = await fileSystem.mkdtemp(path.join(operatingSystem.tmpdir(), 'tls-test-'));
  const authority = await standIns.CertificateAuthority.create(directory);
  const administrationTls = await authority.issue('administration');
  const { certificateFile, keyFile } = administrationTls;
  const fleet = await measure.LocalFleet.start({
    topology: createTopology(),
    seed: 1,
    settings: { administrationTls: { certificateFile, keyFile } },
  });
  try {
    const [daemon] = fleet.daemons;
    assert.ok(daemon);
    const address = daemon.administrationAddress;
    const before = await readServedCertificate(address);
    const kept = tls.connect({ ...splitAddress(address), rejectUnauthorized: false });
    await new Promise((resolve) => {
      kept.once('secureConnect', resolve);
    });
    await fileSystem.writeFile(certificateFile, 'no certificate');
    process.kill(daemon.processId ?? 0, 'SIGHUP');
    while (!daemon.output.includes('were not read again')) {
      await sleep(POLL_MILLISECONDS);
    }
    assert.equal(await readServedCertificate(address), before);
    await authority.issue('administration');
    process.kill(daemon.processId ?? 0, 'SIGHUP');
    while (!daemon.output.includes('certificates and keys were read again')) {
      await sleep(POLL_MILLISECONDS);
    }
    assert.notEqual(await readServedCertificate(address), before);
    assert.equal(kept.destroyed, false);
    kept.destroy();
  } finally {
    await fleet.stop();
    await fileSystem.rm(directory, { recursive: true });
  }
});
