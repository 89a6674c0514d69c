import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as checks from '../src/index.js';

const root = fileURLToPath(new URL('../../../../..', import.meta.url));

test('no source file outside the adapter contains a platform-specific name', async () => {
  assert.deepEqual(await checks.findPlatformNameViolations(root), []);
});

test('a platform-specific name in a source file is reported', async () => {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'dogwoodstall-names-'));
  try {
    const source = path.join(folder, 'packages', 'routing', 'src');
    await fs.mkdir(source, { recursive: true });
    await fs.writeFile(path.join(source, 'a.ts'), "const header = 'server-seal';\n");
    assert.equal((await checks.findPlatformNameViolations(folder)).length, 1);
  } finally {
    await fs.rm(folder, { recursive: true });
  }
});
