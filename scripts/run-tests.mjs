/**
 * Runs every compiled test file with the Node.js test runner. Node.js 20 expands no glob patterns
 * in `node --test`, so that the files are collected here.
 *
 * Tests that are listed in KNOWN-RED.txt by a line `test: NAME` may fail; they are printed. Any other
 * failure, and an entry that names no test, fails the run.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const CONCURRENT_FILES = 4;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const entries = lines.filter((line) => line.startsWith('test: '));
  return new Set(entries.map((line) => line.slice('test: '.length).trim()));
}

function findTestFiles(filter) {
  return ['packages', 'platform']
    .flatMap((folder) => readdirSync(folder, { recursive: true }).map((file) => join(folder, file)))
    .filter((file) => !file.includes('node_modules'))
    .filter((file) => /[\\/]dist[\\/]test[\\/].*\.test\.js$/.test(file))
    .filter((file) => file.includes(filter))
    .sort();
}

const filter = process.argv[2] ?? '';
const files = findTestFiles(filter);
if (files.length === 0) {
  process.stderr.write('no compiled test file found\n');
  process.exit(1);
}

const knownRed = readKnownRed();
const failed = new Set();
const seen = new Set();
let unexpected = 0;
const stream = run({ files, concurrency: CONCURRENT_FILES });
stream.on('test:pass', ({ name }) => seen.add(name));
stream.on('test:fail', ({ name, details }) => {
  seen.add(name);
  if (knownRed.has(name)) {
    failed.add(name);
  } else if (details.type !== 'suite' && details.error?.failureType !== 'subtestsFailed') {
    unexpected += 1;
  }
});
stream.compose(new spec()).pipe(process.stdout);
process.on('exit', () => {
  for (const name of knownRed) {
    const state = failed.has(name) ? 'fails as listed' : 'passes; remove its entry';
    process.stdout.write(`known red: ${name}: ${seen.has(name) ? state : 'was not run'}\n`);
  }
  const missing = filter === '' && [...knownRed].some((name) => !seen.has(name));
  process.exitCode = unexpected > 0 || missing ? 1 : 0;
});
