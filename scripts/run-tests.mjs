/**
 * Runs every compiled test file with the Node.js test runner. Node.js 20 expands no glob patterns
 * in `node --test`, so that the files are collected here.
 */
import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const CONCURRENT_FILES = 4;

const filter = process.argv[2] ?? '';
const files = readdirSync('packages', { recursive: true })
  .map((file) => join('packages', file))
  .filter((file) => !file.includes('node_modules'))
  .filter((file) => /[\\/]dist[\\/]test[\\/].*\.test\.js$/.test(file))
  .filter((file) => file.includes(filter))
  .sort();

if (files.length === 0) {
  process.stderr.write('no compiled test file found\n');
  process.exit(1);
}

const stream = run({ files, concurrency: CONCURRENT_FILES });
stream.on('test:fail', () => {
  process.exitCode = 1;
});
stream.compose(new spec()).pipe(process.stdout);
