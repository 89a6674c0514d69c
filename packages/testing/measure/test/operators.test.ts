import * as assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import * as fileSystem from 'node:fs/promises';
import * as path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { after, before, test } from 'node:test';
import * as undici from 'undici';
import * as measure from '../src/index.js';

const HOST = 'avaliacao.test';
const POLL_MILLISECONDS = 50;

interface HttpResponse {
  readonly status: number;
  readonly body: Record<string, unknown> & { readonly error?: { readonly name: string } };
}

let fleet: measure.LocalFleet;

before(async () => {
  fleet = await measure.LocalFleet.start({ topology: measure.createExampleTopology(), seed: 1 });
});

after(async () => fleet.stop());

async function call(daemon: number, method: string, urlPath: string, body?: unknown) {
  const address = fleet.daemons[daemon]?.administrationAddress ?? '';
  const response = await undici.request(`http://${address}${urlPath}`, {
    method: method as 'GET',
    headers: { authorization: `Bearer ${measure.OPERATOR_TOKEN}` },
    ...(body !== undefined && { body: JSON.stringify(body) }),
  });
  return { status: response.statusCode, body: await response.body.json() } as HttpResponse;
}

async function readAcceptedRevision(): Promise<number> {
  return Number((await call(0, 'GET', '/v1/status')).body.acceptedRevision);
}

async function putDeadline(daemon: number, baseRevision: number, deadline: number, id: string) {
  const contract = { deadlineMilliseconds: deadline };
  const entity = { name: 'avaliacao', organisation: 'sertao', contract };
  const operations = [{ action: 'put', kind: 'service', entity }];
  const change = { id, author: 'test', reason: 'test', baseRevision, operations };
  return call(daemon, 'POST', '/v1/changes', change);
}

async function waitForRevision(revision: number): Promise<void> {
  for (;;) {
    const { zones } = (await call(0, 'GET', '/v1/status')).body as {
      zones: { revisionInForce: number }[];
    };
    if (zones.length === 3 && zones.every((zone) => zone.revisionInForce >= revision)) {
      return;
    }
    await sleep(POLL_MILLISECONDS);
  }
}

async function waitForLogLine(daemon: measure.DaemonProcess, line: string, count: number) {
  while (daemon.output.split(line).length - 1 < count) {
    await sleep(POLL_MILLISECONDS);
  }
}

test('of three concurrent changes through three daemons one is accepted, and the others get the conflict', async () => {
  const base = await readAcceptedRevision();
  const race = [0, 1, 2].map((daemon) =>
    putDeadline(daemon, base, 1000 + daemon, `racing-change-${daemon}`),
  );
  const responses = await Promise.all(race);
  const winner = responses.findIndex(({ status }) => status === 200);
  assert.equal(responses.filter(({ status }) => status === 200).length, 1);
  for (const { body } of responses.filter(({ status }) => status !== 200)) {
    assert.equal(body.error?.name, 'ConfigurationConflict', JSON.stringify(body));
    assert.match(JSON.stringify(body), new RegExp(`"deadlineMilliseconds":${1000 + winner}`));
  }
  await waitForRevision(base + 1);
  for (const daemon of [0, 1, 2]) {
    const { body } = await call(daemon, 'GET', '/v1/configuration/service/avaliacao');
    assert.match(JSON.stringify(body), new RegExp(`"deadlineMilliseconds":${1000 + winner}`));
  }
});

test('a change that the store applied without responding is reported as accepted and applied once', async () => {
  const base = await readAcceptedRevision();
  await fleet.store.control.post('/faults', { lostWriteAnswersNext: 1 });
  const first = await putDeadline(1, base, 1200, 'change-with-lost-answer');
  assert.deepEqual([first.status, first.body.revision], [200, base + 1], JSON.stringify(first));
  const again = await putDeadline(2, base, 1200, 'change-with-lost-answer');
  assert.equal(again.body.revision, base + 1);
  await waitForRevision(base + 1);
  assert.equal(await readAcceptedRevision(), base + 1);
});

test('while the store is unavailable, changes are rejected and requests are still served', async () => {
  const base = await readAcceptedRevision();
  await fleet.store.control.post('/faults', { outage: 'reset' });
  const refused = await putDeadline(0, base, 1300, 'change-without-store');
  const { passed, report } = await measure.checkFleet(fleet, 1);
  await fleet.store.control.post('/faults', { outage: 'none' });
  assert.equal(refused.body.error?.name, 'ConfigurationUnavailable');
  assert.equal(passed, true, report);
  assert.equal(await readAcceptedRevision(), base);
});

test('the daemon that received a request names its dispatcher, which explains the attempts', async () => {
  const names = fleet.daemons.map((daemon) => daemon.name);
  for (const [index, daemon] of fleet.daemons.entries()) {
    const headers = { host: HOST };
    const sent = await undici.request(`http://${daemon.callerAddress}/prices/1`, { headers });
    await sent.body.dump();
    const requestId = String(sent.headers['request-id']);
    // The decision is recorded only after the last byte of the response was written.
    let entry = await call(index, 'GET', `/v1/explain/${requestId}`);
    while (entry.status === 404) {
      await sleep(POLL_MILLISECONDS);
      entry = await call(index, 'GET', `/v1/explain/${requestId}`);
    }
    assert.equal(entry.body.daemon, daemon.name);
    const [next = daemon.name] = entry.body.askNext as string[];
    const dispatcher = await call(names.indexOf(next), 'GET', `/v1/explain/${requestId}`);
    assert.match(JSON.stringify(dispatcher.body), /"outcome":"success"/);
  }
});

test('ejections and failed members are logged although decision logging is off', async () => {
  const [server = ''] = fleet.backends('avaliacao').servers.map(({ name }) => name);
  const { control } = fleet.backends('avaliacao');
  await control.post('/faults', { servers: [server], faults: { failShare: 1 } });
  const allOutput = (): string => fleet.daemons.map(({ output }) => output).join('\n');
  const address = fleet.daemons[0]?.callerAddress;
  while (!allOutput().includes(`health: endpoint ejected`)) {
    const headers = { host: HOST };
    const requests = Array.from({ length: 6 }, async () => {
      const response = await undici.request(`http://${address}/prices/1?work=1`, { headers });
      await response.body.dump();
    });
    await Promise.all(requests);
  }
  assert.match(allOutput(), new RegExp(`endpoint ejected .*endpointName="${server}"`));
  assert.doesNotMatch(allOutput(), /request routed/);
  await control.post('/faults', { servers: [server], faults: { failShare: 0 } });
  const [first, , last] = fleet.daemons;
  await last?.kill();
  while (!/member changed state .*to="failed"/.test(first?.output ?? '')) {
    await sleep(POLL_MILLISECONDS);
  }
  await last?.start();
  await last?.waitUntilReady();
});

test('SIGHUP loads a new fleet key, and with an invalid certificate keeps the active credentials', async () => {
  const daemon = fleet.daemons[0];
  assert.ok(daemon?.processId !== undefined);
  const directory = path.dirname(daemon.settingsFile);
  const keyFile = path.join(directory, 'fleet.key');
  const certificateFile = path.join(directory, `${daemon.name}.pem`);
  const certificate = await fileSystem.readFile(certificateFile);
  await fileSystem.writeFile(certificateFile, 'no certificate');
  process.kill(daemon.processId, 'SIGHUP');
  await waitForLogLine(daemon, 'certificates and keys were not read again', 1);
  assert.match(daemon.output, /result="KeyFileInvalid"/);
  await fileSystem.writeFile(certificateFile, certificate);
  const issueKey = async (address: string | undefined): Promise<string> => {
    const url = `http://${address}/.well-known/dogwoodstall/idempotency-keys?service=avaliacao`;
    const response = await undici.request(url, { method: 'POST' });
    return ((await response.body.json()) as { keys: string[] }).keys[0] ?? '';
  };
  const oldKey = await issueKey(daemon.callerAddress);
  await fileSystem.writeFile(keyFile, `${randomBytes(32).toString('hex')}\n`);
  process.kill(daemon.processId, 'SIGHUP');
  await waitForLogLine(daemon, 'certificates and keys were read again', 1);
  const refused = await undici.request(`http://${daemon.callerAddress}/confirmations/1`, {
    method: 'POST',
    headers: { host: HOST, 'idempotency-key': oldKey },
    body: 'x',
  });
  await refused.body.dump();
  // The fleet key was replaced without an overlap, so idempotency keys signed with the old one are invalid.
  assert.equal(refused.headers['dogwoodstall-result'], '4002');
  for (const other of fleet.daemons.slice(1)) {
    process.kill(other.processId ?? 0, 'SIGHUP');
    await waitForLogLine(other, 'certificates and keys were read again', 1);
  }
  const accepted = await undici.request(`http://${daemon.callerAddress}/confirmations/1`, {
    method: 'POST',
    headers: { host: HOST, 'idempotency-key': await issueKey(fleet.daemons[1]?.callerAddress) },
    body: 'x',
  });
  await accepted.body.dump();
  assert.equal(accepted.headers['dogwoodstall-result'], '0');
});
