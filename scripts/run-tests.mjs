/**
 * Runs all compiled test files with the Node.js test runner, or those whose path contains the first argument. The files
 * are collected here because `node --test` does not expand glob patterns in Node.js 20.
 *
 * Tests that are listed in KNOWN-RED.txt with a line `test: NAME` are expected to fail; their state is printed. Any
 * other failure fails the run, and so does, in a run of all tests, an entry that matches no test.
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
const failedKnownRed = new Set();
const executed = new Set();
let unexpectedFailures = 0;
const stream = run({ files, concurrency: CONCURRENT_FILES });
stream.on('test:pass', ({ name }) => executed.add(name));
stream.on('test:fail', ({ name, details }) => {
  executed.add(name);
  if (knownRed.has(name)) {
    failedKnownRed.add(name);
  } else if (details.type !== 'suite' && details.error?.failureType !== 'subtestsFailed') {
    unexpectedFailures += 1;
  }
});
stream.compose(new spec()).pipe(process.stdout);
process.on('exit', () => {
  for (const name of knownRed) {
    const state = failedKnownRed.has(name) ? 'fails as listed' : 'passes; remove its entry';
    process.stdout.write(`known red: ${name}: ${executed.has(name) ? state : 'was not run'}\n`);
  }
  const hasUnmatchedEntry = filter === '' && [...knownRed].some((name) => !executed.has(name));
  process.exitCode = unexpectedFailures > 0 || hasUnmatchedEntry ? 1 : 0;
});
