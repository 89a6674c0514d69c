import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { createSilentLog } from '@dogwoodstall/observability';
import { type GatewaySettings, SettingsFile } from '../src/index.js';
import { waitUntil } from './fleet.js';

const CHANGE_MILLISECONDS = 8000;

function formatSettings(seed: string): string {
  return `name = "one"
zone = "a"
seeds = ["${seed}"]
listen = { caller = "127.0.0.1:1", readiness = "127.0.0.1:2", peer = "127.0.0.1:3", datagramPort = 4 }
store = { address = "127.0.0.1:5" }
retries = { ratio = 0.2, slack = 20, windowSeconds = 10 }
stop = { graceSeconds = 3 }
limits = { memoryMegabytes = 100 }
`;
}

async function withFile(
  check: (file: SettingsFile, name: string, changes: GatewaySettings[]) => Promise<void>,
): Promise<void> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'dogwoodstall-'));
  const name = path.join(folder, 'settings.toml');
  await fs.writeFile(name, formatSettings('127.0.0.1:6'));
  const changes: GatewaySettings[] = [];
  const file = new SettingsFile({
    path: name,
    onChange: (settings) => changes.push(settings),
    logger: createSilentLog().getLogger('daemon'),
  });
  try {
    await check(file, name, changes);
  } finally {
    file.close();
    await fs.rm(folder, { recursive: true });
  }
}

test('a file that changes without a signal is reloaded', async () => {
  await withFile(async (file, name, changes) => {
    file.watch();
    // Polling must have recorded the file's first modification time.
    await delay(200);
    await fs.writeFile(name, formatSettings('127.0.0.1:7'));
    await waitUntil('the file has been reloaded', () => changes.length > 0, CHANGE_MILLISECONDS);
    assert.deepEqual(changes.at(-1)?.seeds, ['127.0.0.1:7']);
  });
});

test('an invalid file leaves the active settings unchanged', async () => {
  await withFile(async (file, name, changes) => {
    await fs.writeFile(name, 'name = ');
    file.reload('SIGHUP');
    await delay(100);
    assert.deepEqual(changes, []);
    await fs.writeFile(name, formatSettings('127.0.0.1:8'));
    file.reload('SIGHUP');
    await waitUntil('the file has been reloaded', () => changes.length === 1, 1000);
  });
});
