import * as assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import * as path from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { runBuiltProgram, runWithClosedOutput, AdministrationApiStub } from './stub-server.js';

const server = new AdministrationApiStub();
const answers = fileURLToPath(
  new URL('../../../../../examples/cadeaupot/questionnaire.toml', import.meta.url),
);
let address = '';
let directory = '';

before(async () => {
  address = await server.start();
  directory = await mkdtemp(path.join(tmpdir(), 'command-line-'));
});

after(async () => {
  await server.stop();
  await rm(directory, { recursive: true });
});

async function writeTemporary(name: string, content: string): Promise<string> {
  const file = path.join(directory, name);
  await writeFile(file, content);
  return file;
}

const zoneChange = `reason = "new zone"
[[operations]]
action = "put"
kind = "zone"
[operations.entity]
name = "zone-b"
region = "north"
`;

const accepted = { status: 200, body: { id: 'change-id', revision: 8, repeated: true } };

test('help and version exit with 0, wrong usage with 2', async () => {
  for (const words of [['--help'], ['configuration', 'apply', '--help'], ['--version']]) {
    assert.equal((await runBuiltProgram(words)).code, 0, words.join(' '));
  }
  for (const words of [['unknown'], ['daemon'], ['status'], ['configuration', 'get', 'nothing']]) {
    const { code, errors } = await runBuiltProgram(words);
    assert.equal(code, 2, words.join(' '));
    assert.notEqual(errors, '');
  }
});

test('invalid settings exit with 1 and report result code, file, line and key', async () => {
  const file = await writeTemporary('daemon.toml', 'name = "d"\nzone = 4\n');
  const { code, errors } = await runBuiltProgram(['check-settings', file]);
  assert.equal(code, 1);
  assert.match(errors, /result 1003 SettingsInvalid/);
  assert.match(errors, /daemon\.toml:2: zone: expected string, received number/);
});

test('a daemon with unreadable settings exits with 1 before it starts', async () => {
  const { code, errors } = await runBuiltProgram(['daemon', '--settings', '/nonexistent.toml']);
  assert.equal(code, 1);
  assert.match(errors, /result 1001 SettingsUnreadable/);
});

test('plan writes a change file that apply can submit, and prints the reasons', async () => {
  const file = path.join(directory, 'plan.toml');
  const planned = await runBuiltProgram(['plan', answers, '--output', file]);
  assert.equal(planned.code, 0, planned.errors);
  assert.match(
    planned.output,
    /service\/potbeheer +deadlineMilliseconds +1984 +callers wait 2000 ms/,
  );
  server.expect(accepted);
  const applied = await runBuiltProgram(['configuration', 'apply', file, '--base', '0'], address);
  assert.equal(applied.code, 0, applied.errors);
  const operations = server.requests[0]?.body.operations as { kind: string }[];
  assert.equal(operations.filter(({ kind }) => kind === 'backendServer').length, 36);
});

test('a change whose response is lost is retried with the same id and base', async () => {
  const file = await writeTemporary('change.toml', zoneChange);
  server.expect('lost', accepted);
  const words = ['configuration', 'apply', file, '--base', '7', '--json'];
  const { code, output } = await runBuiltProgram(words, address);
  assert.equal(code, 0);
  assert.equal((JSON.parse(output) as { revision: number }).revision, 8);
  const [first, second] = server.requests;
  assert.deepEqual(first, second);
});

test('a conflict exits with 1 and prints what later changes modified', async () => {
  const file = await writeTemporary('change.toml', zoneChange);
  const difference = [
    { kind: 'zone', name: 'zone-b', before: { region: 'north' }, after: { region: 'south' } },
  ];
  const error = { code: 6003, name: 'ConfigurationConflict', message: 'changed', difference };
  server.expect({ status: 409, body: { error } });
  const words = ['configuration', 'apply', file, '--base', '7'];
  const { code, errors } = await runBuiltProgram(words, address);
  assert.equal(code, 1);
  assert.match(errors, /result 6003 ConfigurationConflict/);
  assert.match(errors, /region: "north" -> "south"/);
});

test('a change without a base is rejected when it would replace existing entities', async () => {
  const file = await writeTemporary('change.toml', zoneChange);
  const entity = { name: 'zone-b', region: 'north' };
  const difference = [{ kind: 'zone', name: 'zone-b', before: { region: 'x' }, after: entity }];
  const preview = { revision: 7, difference, problems: [] };
  server.expect(
    { status: 200, body: { acceptedRevision: 7, zones: [] } },
    { status: 200, body: preview },
  );
  const { code, errors } = await runBuiltProgram(['configuration', 'apply', file], address);
  assert.equal(code, 1);
  assert.match(errors, /give --base 7/);
  assert.deepEqual(
    server.requests.map((request) => request.path),
    ['/v1/status', '/v1/changes/preview'],
  );
});

test('put submits an entity that get printed on the revision at which it was read', async () => {
  const entity = { name: 'zone-b', region: 'north' };
  server.expect({ status: 200, body: { revision: 5, kind: 'zone', entity } });
  const read = await runBuiltProgram(['configuration', 'get', 'zone', 'zone-b'], address);
  const file = await writeTemporary('zone.toml', read.output);
  server.expect(accepted);
  const written = await runBuiltProgram(['configuration', 'put', 'zone', file], address);
  assert.equal(written.code, 0, written.errors);
  assert.equal(server.requests[0]?.body.baseRevision, 5);
  assert.deepEqual(server.requests[0].body.operations, [{ action: 'put', kind: 'zone', entity }]);
});

test('a response that is not JSON and an unreachable API have distinct result codes', async () => {
  server.expect({ status: 200, body: undefined });
  const invalid = await runBuiltProgram(['configuration', 'status'], address);
  assert.match(invalid.errors, /result 1008 AdministrationAnswerInvalid/);
  const unreachable = await runBuiltProgram(['configuration', 'status'], 'http://127.0.0.1:1');
  assert.equal(unreachable.code, 1);
  assert.match(unreachable.errors, /result 1007 AdministrationUnreachable/);
});

test('a new token is printed with its own digest, a new fleet key in hexadecimal', async () => {
  const { output } = await runBuiltProgram(['token', 'new', '--json']);
  const { token, digest } = JSON.parse(output) as { token: string; digest: string };
  assert.equal(createHash('sha256').update(token).digest('hex'), digest);
  const key = await runBuiltProgram(['fleet-key', 'new']);
  assert.match(key.output, /^[0-9a-f]{64}\n$/);
});

test('an unknown outcome is still reported, with id and base, when the store is unavailable at the retry', async () => {
  const file = await writeTemporary('change.toml', zoneChange);
  const unavailable = { code: 6005, name: 'ConfigurationUnavailable', message: 'changed nothing' };
  server.expect(
    'lost',
    { status: 503, body: { error: unavailable } },
    { status: 503, body: { error: unavailable } },
  );
  const words = ['configuration', 'apply', file, '--base', '7', '--id', 'my-change-id'];
  const { code, errors } = await runBuiltProgram(words, address);
  assert.equal(code, 1);
  assert.match(errors, /result 6006 ConfigurationOutcomeUnknown/);
  assert.match(errors, /--id my-change-id --base 7/);
});

test('explain queries every given daemon and names those with further decisions', async () => {
  const missing = { code: 6009, name: 'ConfigurationNotFound', message: 'no decision' };
  const entry = {
    requestId: 'r-1',
    service: 's',
    daemon: 'd-1',
    decisions: [{}],
    askNext: ['d-2'],
  };
  const dispatcher = { ...entry, daemon: 'd-2', askNext: [] };
  server.expect(
    { status: 404, body: { error: missing } },
    { status: 200, body: entry },
    { status: 200, body: dispatcher },
    { status: 200, body: entry },
  );
  const words = ['explain', 'r-1', '--also', address, '--also', address];
  const all = await runBuiltProgram(words, address);
  assert.equal(all.code, 0, all.errors);
  assert.match(all.output, /decisions of daemon d-1: 1[^]*decisions of daemon d-2: 1/);
  assert.doesNotMatch(all.output, /further decisions/);
  const one = await runBuiltProgram(['explain', 'r-1'], address);
  assert.match(one.output, /further decisions are kept by daemon d-2/);
});

test('a reader that closes the pipe early, such as head, causes no error', async () => {
  assert.deepEqual(await runWithClosedOutput(['plan', answers]), { code: 0, errors: '' });
});

test('status prints the revisions to an organisation that may not read the state of a daemon', async () => {
  const zones = [{ zone: 'zone-a', revisionInForce: 4 }];
  const forbidden = { code: 6008, name: 'AdministrationForbidden', message: 'only operators' };
  server.expect(
    { status: 200, body: { acceptedRevision: 4, zones } },
    { status: 403, body: { error: forbidden } },
  );
  const { code, output } = await runBuiltProgram(['status'], address);
  assert.equal(code, 0);
  assert.match(output, /accepted revision 4[^]*zone-a +4/);
});
