import * as assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import * as fileSystem from 'node:fs/promises';
import * as operatingSystem from 'node:os';
import * as path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { after, before, test } from 'node:test';
import * as standIns from '@dogwoodstall/stand-ins';
import * as undici from 'undici';
import * as measure from '../src/index.js';

const RELOADED = 'certificates and keys were read again';
const POLL_MILLISECONDS = 20;
const KEY_PATH = '/.well-known/dogwoodstall/idempotency-keys?service=avaliacao';

let directory = '';
let fleet: measure.LocalFleet;
let signFile = '';
let verifyFile = '';

function createKey(): string {
  return `${randomBytes(32).toString('hex')}\n`;
}

// A daemon that does not know the home of a key yet responds that the home is unreachable.
async function waitForFullMembership(): Promise<void> {
  for (const daemon of fleet.daemons) {
    for (;;) {
      const response = await undici.request(`http://${daemon.administrationAddress}/v1/status`, {
        headers: { authorization: `Bearer ${measure.OPERATOR_TOKEN}` },
      });
      const { zones } = (await response.body.json()) as { zones: unknown[] };
      if (zones.length === fleet.daemons.length) {
        break;
      }
      await sleep(POLL_MILLISECONDS);
    }
  }
}

before(async () => {
  directory = await fileSystem.mkdtemp(path.join(operatingSystem.tmpdir(), 'rotation-'));
  signFile = path.join(directory, 'sign.key');
  verifyFile = path.join(directory, 'verify.key');
  const key = createKey();
  await fileSystem.writeFile(signFile, key);
  await fileSystem.writeFile(verifyFile, key);
  fleet = await measure.LocalFleet.start({
    topology: measure.createExampleTopology(),
    seed: 1,
    settings: { fleet: { keyFiles: [signFile, verifyFile] } },
  });
  await waitForFullMembership();
});

after(async () => {
  await fleet.stop();
  await fileSystem.rm(directory, { recursive: true });
});

async function reload(daemon: measure.DaemonProcess): Promise<void> {
  const countReloads = (): number => daemon.output.split(RELOADED).length;
  const earlier = countReloads();
  process.kill(daemon.processId ?? 0, 'SIGHUP');
  while (countReloads() === earlier) {
    await sleep(POLL_MILLISECONDS);
  }
}

async function issueKey(daemon: measure.DaemonProcess): Promise<string> {
  const response = await undici.request(`http://${daemon.callerAddress}${KEY_PATH}`, {
    method: 'POST',
  });
  return ((await response.body.json()) as { keys: string[] }).keys[0] ?? '';
}

async function useKey(daemon: measure.DaemonProcess, key: string): Promise<unknown> {
  const response = await undici.request(`http://${daemon.callerAddress}/confirmations/1?work=1`, {
    method: 'POST',
    headers: { host: 'avaliacao.test', 'idempotency-key': key },
    body: 'x',
  });
  await response.body.dump();
  return response.headers['dogwoodstall-result'];
}

// Every daemon must accept the keys of every other one, also of those that have already reloaded.
async function checkEveryPair(): Promise<void> {
  for (const issuer of fleet.daemons) {
    for (const entry of fleet.daemons) {
      const key = await issueKey(issuer);
      const result = await useKey(entry, key);
      const place = `${issuer.name} ${entry.name} ${key.split('.')[0]}`;
      assert.equal(result, '0', `${place}\n${entry.output}`);
    }
  }
}

async function reloadOneByOne(): Promise<void> {
  for (const daemon of fleet.daemons) {
    await reload(daemon);
    await checkEveryPair();
  }
}

test('a rotation of the fleet key with an overlap rejects no idempotency key at any step', async () => {
  const [first, , last] = fleet.daemons;
  assert.ok(first !== undefined && last !== undefined);
  const oldKey = await fileSystem.readFile(signFile, 'utf8');
  const newKey = createKey();
  const issuedBefore = await issueKey(first);
  await fileSystem.writeFile(verifyFile, newKey);
  await reloadOneByOne();
  await fileSystem.writeFile(verifyFile, oldKey);
  await fileSystem.writeFile(signFile, newKey);
  await reloadOneByOne();
  assert.equal(await useKey(last, issuedBefore), '0');
  await fileSystem.writeFile(verifyFile, newKey);
  await reloadOneByOne();
  assert.equal(await useKey(first, issuedBefore), '4002');
});

test('a rotation of the certificate authority with an overlap keeps the daemons connected', async () => {
  const fleetDirectory = path.dirname(fleet.daemons[0]?.settingsFile ?? '');
  const authorityFile = path.join(fleetDirectory, 'authority.pem');
  const newDirectory = path.join(directory, 'new');
  await fileSystem.mkdir(newDirectory);
  const authority = await standIns.CertificateAuthority.create(newDirectory, 'new authority');
  const newAuthority = await fileSystem.readFile(path.join(newDirectory, 'authority.pem'), 'utf8');
  const oldAuthority = await fileSystem.readFile(authorityFile, 'utf8');
  await fileSystem.writeFile(authorityFile, `${oldAuthority}${newAuthority}`);
  await reloadOneByOne();
  for (const { name } of fleet.daemons) {
    const issued = await authority.issue(name);
    const certificateFile = path.join(fleetDirectory, `${name}.pem`);
    await fileSystem.copyFile(issued.certificateFile, certificateFile);
    await fileSystem.copyFile(issued.keyFile, path.join(fleetDirectory, `${name}-key.pem`));
  }
  await reloadOneByOne();
  await fileSystem.writeFile(authorityFile, newAuthority);
  await reloadOneByOne();
  // A new process opens every connection with the new certificates only.
  await fleet.daemons[0]?.restart();
  await waitForFullMembership();
  await checkEveryPair();
  const lost = fleet.daemons.filter(({ output }) =>
    /to="failed"/.test(output.split(RELOADED)[1] ?? ''),
  );
  assert.deepEqual(
    lost.map(({ name }) => name),
    [],
  );
});
