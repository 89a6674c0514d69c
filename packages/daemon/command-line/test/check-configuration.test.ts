import * as assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import * as path from 'node:path';
import { after, before, test } from 'node:test';
import { runBuiltProgram } from './stub-server.js';

let directory = '';

before(async () => {
  directory = await mkdtemp(path.join(tmpdir(), 'check-configuration-'));
});

after(async () => {
  await rm(directory, { recursive: true });
});

const sound = {
  version: 2,
  routes: [
    {
      name: 'offers',
      host: 'shop.example',
      prefix: '/offers/',
      idempotent: true,
      destinations: [{ service: 'valuation', weight: 1 }],
      timeoutMilliseconds: 2000,
      targetMilliseconds: 500,
      maximumAttempts: 3,
      priority: 1,
    },
  ],
  services: [{ name: 'valuation', connectionLimit: 100 }],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_000_000,
    headerMilliseconds: 3000,
    idleMilliseconds: 15_000,
  },
};

async function write(name: string, content: object | string): Promise<string> {
  const file = path.join(directory, name);
  await writeFile(file, typeof content === 'string' ? content : JSON.stringify(content));
  return file;
}

test('a sound configuration exits with 0, and its difference from the version in force is printed', async () => {
  const inForce = await write('in-force.json', sound);
  const limits = { ...sound.limits, bodyBytes: 5 };
  const file = await write('next.json', { ...sound, version: 3, limits });
  const { code, output } = await runBuiltProgram([
    'check-configuration',
    file,
    '--in-force',
    inForce,
  ]);
  assert.equal(code, 0);
  assert.match(output, /0 errors, 0 warnings/);
  assert.match(output, /~ limits\n {4}bodyBytes: 1000000 -> 5\n1 entries differ/);
});

test('errors are printed with their numbers, also as JSON, and exit with 1; warnings exit with 0', async () => {
  const destinations = [{ service: 'absent', weight: 1 }];
  const routes = sound.routes.map((route) => ({ ...route, destinations }));
  const file = await write('wrong.json', { ...sound, routes });
  const text = await runBuiltProgram(['check-configuration', file, '--in-force', file]);
  assert.equal(text.code, 1);
  assert.match(text.output, /^201 +error +route\/offers +destination "absent"/m);
  assert.match(text.output, /^204 +warning +service\/valuation/m);
  assert.match(text.output, /^501 +error +version/m);
  assert.match(text.errors, /ConfigurationInvalid/);
  const json = await runBuiltProgram(['check-configuration', file, '--json']);
  assert.equal(json.code, 1);
  const { findings } = JSON.parse(json.output) as { findings: { number: number }[] };
  assert.deepEqual(
    findings.map(({ number }) => number),
    [201, 204],
  );
  const mistyped = await write('mistyped.json', { ...sound, organisation: [] });
  const warned = await runBuiltProgram(['check-configuration', mistyped]);
  assert.equal(warned.code, 0);
  assert.match(warned.output, /^502 +warning +organisation /m);
  const unused = [...sound.services, { name: 'spare', connectionLimit: 1 }];
  const doubtful = await write('doubtful.json', { ...sound, services: unused });
  assert.equal((await runBuiltProgram(['check-configuration', doubtful])).code, 0);
});

test('a configuration in TOML is read; one that is no JSON or lacks a field is refused with its file and field', async () => {
  const toml = await write(
    'sound.toml',
    `version = 1
routes = []
services = []
[limits]
headerBytes = 1
bodyBytes = 1
headerMilliseconds = 1
idleMilliseconds = 1
`,
  );
  assert.equal((await runBuiltProgram(['check-configuration', toml])).code, 0);
  const broken = await write('broken.json', '{');
  const incomplete = await write('incomplete.json', { ...sound, limits: {} });
  for (const [file, expected] of [
    [broken, /broken\.json: /],
    [incomplete, /incomplete\.json: limits\.headerBytes: /],
  ] as const) {
    const { code, errors } = await runBuiltProgram(['check-configuration', file]);
    assert.equal(code, 1);
    assert.match(errors, expected);
  }
});
