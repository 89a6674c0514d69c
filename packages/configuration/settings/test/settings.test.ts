import * as assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import * as path from 'node:path';
import { after, before, test } from 'node:test';
import * as results from '@dogwoodstall/results';
import * as zod from 'zod';
import * as settings from '../src/index.js';

let directory = '';

before(async () => {
  directory = await mkdtemp(path.join(tmpdir(), 'settings-'));
  for (const file of ['daemon.pem', 'daemon.key', 'authority.pem', 'fleet.key']) {
    await writeFile(path.join(directory, file), 'content');
  }
});

after(async () => rm(directory, { recursive: true }));

const valid = `name = "daemon-1"
zone = "recife-a"
region = "nordeste"

[listen]
caller = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
administration = "127.0.0.1:8082"

[peerTls]
certificateFile = "daemon.pem"
keyFile = "daemon.key"
authorityFiles = ["authority.pem"]

[store]
addresses = ["127.0.0.1:2379"]

[fleet]
keyFiles = ["fleet.key"]
`;

async function load(text: string): Promise<settings.Settings> {
  const file = path.join(directory, 'daemon.toml');
  await writeFile(file, text);
  return settings.loadSettings(file);
}

async function collectProblems(text: string): Promise<string[]> {
  try {
    await load(text);
  } catch (error) {
    assert.ok(results.isFailure(error, 'SettingsInvalid'), String(error));
    return error.message.split('\n').map((line) => line.slice(directory.length + 1));
  }
  return [];
}

test('file names in settings are resolved against the directory of the settings file, not the working directory', async () => {
  const loaded = await load(valid);
  assert.equal(loaded.peerTls.keyFile, path.join(directory, 'daemon.key'));
  assert.deepEqual(loaded.fleet.keyFiles, [path.join(directory, 'fleet.key')]);
  assert.equal(loaded.limits.headerMilliseconds, 10_000);
});

test('an unknown key, a wrong type and a missing key are all reported with their lines', async () => {
  const text = valid
    .replace('region = "nordeste"\n', '')
    .replace('[store]', '[limits]\nheaderSeconds = 3\nheaderMilliseconds = "10s"\n\n[store]');
  const problems = await collectProblems(text);
  assert.equal(problems.length, 3);
  assert.match(problems[0] ?? '', /^daemon\.toml:1: region: missing, expected string/);
  assert.match(problems[1] ?? '', /:15: limits\.headerSeconds: unknown key.*headerMilliseconds/);
  assert.match(problems[2] ?? '', /:16: limits\.headerMilliseconds: expected number.*milliseconds/);
});

test('colliding ports, a missing file and an unreachable peer address are all reported at once', async () => {
  const text = valid
    .replace('127.0.0.1:8082', '127.0.0.1:8080')
    .replace('127.0.0.1:8081', '0.0.0.0:8081')
    .replace('"fleet.key"', '"absent.key"');
  const problems = await collectProblems(text);
  assert.deepEqual(
    problems.map((problem) => problem.split(': ').slice(0, 2)),
    [
      ['daemon.toml:7', 'listen.peer'],
      ['daemon.toml:8', 'listen.administration'],
      ['daemon.toml:19', 'fleet.keyFiles[0]'],
    ],
  );
});

test('a syntax error is reported with file and line', async () => {
  await assert.rejects(
    load(valid.replace('[fleet]', '[fleet')),
    (error) =>
      results.isFailure(error, 'SettingsSyntax') && /daemon\.toml:18: /.test(error.message),
  );
});

test('an unreadable file has its own result code', async () => {
  await assert.rejects(settings.loadSettings(path.join(directory, 'absent.toml')), (error) =>
    results.isFailure(error, 'SettingsUnreadable'),
  );
});

test('keys are located in dotted keys, inline tables, arrays, arrays of tables and around multi-line strings', () => {
  const text = [
    'a.b = { c = 1, "d e" = [1,', // 1
    '  2], f = { g = "}" } } # } [h]', // 2
    "text = '''", // 3
    'h = 1', // 4
    "'''", // 5
    '[[servers]]', // 6
    'name = "x # y"', // 7
    '[servers.limits]', // 8
    'slots = 1', // 9
    '[[servers]]', // 10
    "'name' = 'y'", // 11
    'list = [ # comment ]', // 12
    '  { n = 1 },', // 13
    '  { n = "\\"]" },', // 14
    ']', // 15
    'after = 1979-05-27 07:32:00', // 16
    '"quoted \\U0001F600" = 1', // 17
  ].join('\n');
  const lines = new settings.KeyLines(text);
  const expected: [settings.KeyPath, number][] = [
    [['a', 'b', 'c'], 1],
    [['a', 'b', 'd e', 1], 2],
    [['a', 'b', 'f', 'g'], 2],
    [['h'], 1],
    [['servers', 0, 'name'], 7],
    [['servers', 0, 'limits', 'slots'], 9],
    [['servers', 1], 10],
    [['servers', 1, 'name'], 11],
    [['servers', 1, 'list', 1, 'n'], 14],
    [['servers', 1, 'after'], 16],
    [['servers', 1, 'quoted \u{1F600}'], 17],
    [['servers', 1, 'missing'], 10],
  ];
  for (const [keyPath, line] of expected) {
    assert.equal(lines.find(keyPath), line, settings.formatPath(keyPath));
  }
});

test('a document with another result code is rejected with that code and the index of the list element', () => {
  const schema = zod.strictObject({
    servers: zod.array(zod.strictObject({ slots: zod.number() })),
  });
  const text = '[[servers]]\nslots = 1\n[[servers]]\nslots = true\n';
  assert.throws(
    () => settings.parseToml(text, 'x.toml', schema, { invalidKind: 'QuestionnaireInvalid' }),
    (error) =>
      results.isFailure(error, 'QuestionnaireInvalid') &&
      error.message.startsWith('x.toml:4: servers[1].slots: expected number'),
  );
});

test('a problem within a union alternative is reported at its key, not at the whole union', () => {
  const schema = zod.union([
    zod.strictObject({ kind: zod.literal('zone'), region: zod.string() }),
    zod.strictObject({ kind: zod.literal('route'), slots: zod.number() }),
  ]);
  const list = zod.strictObject({ entries: zod.array(schema) });
  const text = '[[entries]]\nkind = "route"\nslots = "1"\nregion = "x"\n';
  assert.throws(
    () => settings.parseToml(text, 'x.toml', list),
    (error) =>
      results.isFailure(error, 'SettingsInvalid') &&
      /^x\.toml:3: entries\[0\]\.slots: expected number, received string\nx\.toml:4: .*region: unknown key, expected one of: kind, slots$/.test(
        error.message,
      ),
  );
});
