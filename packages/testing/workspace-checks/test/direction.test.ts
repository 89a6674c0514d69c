import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as checks from '../src/index.js';

const root = fileURLToPath(new URL('../../../../..', import.meta.url));

test('every package depends only on packages that precede it in the package table', async () => {
  const design = await fs.readFile(path.join(root, 'docs/design.md'), 'utf8');
  const order = checks.readPackageOrder(design);
  const packages = await checks.readPackages(root);
  assert.ok(packages.length > 20);
  assert.deepEqual(checks.findDependencyViolations(order, packages), []);
});

test('a dependency against the package order and an undeclared import are reported', () => {
  const violations = checks.findDependencyViolations(
    ['results', 'dispatch'],
    [
      {
        name: 'results',
        folder: '',
        declared: new Set(['dispatch']),
        imported: new Set(['dispatch']),
      },
      { name: 'dispatch', folder: '', declared: new Set(), imported: new Set(['results']) },
    ],
  );
  assert.equal(violations.length, 2);
});
