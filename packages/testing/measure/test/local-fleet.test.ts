import * as assert from 'node:assert/strict';
import * as fileSystem from 'node:fs/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as results from '@dogwoodstall/results';
import * as settings from '@dogwoodstall/settings';
import * as toml from 'smol-toml';
import { findFreeAddresses } from '../src/fleet/ports.js';
import * as measure from '../src/index.js';

const daemonCommand = [fileURLToPath(new URL('./fixtures/daemon.js', import.meta.url))];

function isRunning(processId: number | undefined): boolean {
  try {
    return process.kill(processId ?? 0, 0);
  } catch {
    return false;
  }
}

async function findExisting(files: readonly string[]): Promise<string[]> {
  const existing: string[] = [];
  for (const file of files) {
    if ((await fileSystem.stat(file).catch(() => undefined)) !== undefined) {
      existing.push(file);
    }
  }
  return existing;
}

test('a fleet serves the check requests and leaves no process or file behind', async () => {
  const topology: measure.Topology = {
    ...measure.createExampleTopology(),
    proxied: ['peer', 'backend', 'store'],
  };
  const fleet = await measure.LocalFleet.start({ topology, seed: 1, daemonCommand });
  const processIds = [
    ...fleet.daemons.map((daemon) => daemon.processId),
    fleet.store.process.processId,
    fleet.backends('arquivo').process.processId,
  ];
  let files: string[] = [];
  try {
    files = fleet.daemons.map((daemon) => daemon.settingsFile);
    for (const file of files) {
      const input = toml.parse(await fileSystem.readFile(file, 'utf8'));
      assert.equal(settings.settingsSchema.safeParse(input).success, true);
    }
    const { passed, report } = await measure.checkFleet(fleet, 1);
    assert.equal(passed, true, report);
    const links = await fleet.proxy.control.get<{ name: string; connections: number }[]>('/links');
    const used = links.filter((link) => link.connections > 0).map((link) => link.name);
    // Each daemon reads the store once, and the fixture uses the first server of each service.
    assert.deepEqual(used.sort(), [
      'backend:arquivo-1',
      'backend:avaliacao-1',
      ...fleet.daemons.map((daemon) => `store:${daemon.name}`).sort(),
    ]);
    await fleet.setLinkFaults(['backend:avaliacao-1', 'backend:arquivo-1'], { refuse: true });
    await fleet.proxy.control.post('/cut', {});
    assert.equal((await measure.checkFleet(fleet, 2)).passed, false);
  } finally {
    await fleet.stop();
  }
  assert.deepEqual(processIds.filter(isRunning), []);
  assert.deepEqual(await findExisting(files), []);
});

test('a daemon that fails to start is reported with its output', async () => {
  const topology: measure.Topology = {
    ...measure.createExampleTopology(),
    zones: [{ name: 'zone-a', region: 'broken' }],
  };
  await assert.rejects(
    measure.LocalFleet.start({ topology, seed: 1, daemonCommand }),
    (error) => results.isFailure(error, 'ProcessStartFailed') && /told to fail/.test(error.message),
  );
});

test('a restarted daemon is a new process, and a paused one does not respond', async () => {
  const topology: measure.Topology = {
    ...measure.createExampleTopology(),
    zones: [{ name: 'zone-a', region: 'region-1' }],
  };
  const fleet = await measure.LocalFleet.start({ topology, seed: 1, daemonCommand });
  try {
    const daemon = fleet.daemons[0];
    const before = daemon?.processId;
    const end = await daemon?.restart();
    assert.equal(end?.code, 0);
    assert.notEqual(daemon?.processId, before);
    daemon?.pause();
    assert.equal(await daemon?.isReady(), false);
    daemon?.resume();
    await daemon?.waitUntilReady();
  } finally {
    await fleet.stop();
  }
});

test('SIGINT to the parent process ends every process of its fleet and removes the files', async () => {
  const program = fileURLToPath(new URL('./fixtures/fleet.js', import.meta.url));
  const parent = new measure.ManagedProcess('parent', [program, ...daemonCommand]);
  const { processIds, files } = JSON.parse(await parent.waitForFirstLine()) as {
    processIds: number[];
    files: string[];
  };
  assert.equal(processIds.filter(isRunning).length, processIds.length);
  parent.sendSignal('SIGINT');
  assert.equal((await parent.exited).signal, 'SIGINT');
  // The children are killed before the parent exits, but the kernel may reap them a moment later.
  while (processIds.some(isRunning)) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  assert.deepEqual(await findExisting(files), []);
});

test('a port that is not bound yet is not returned twice', async () => {
  const addresses: string[] = [];
  for (let daemon = 0; daemon < 200; daemon += 1) {
    addresses.push(...(await findFreeAddresses(3)));
  }
  assert.equal(new Set(addresses).size, addresses.length);
});

test('every measurement in the folder is found by its name', async () => {
  const names = (await measure.loadMeasurements()).map((measurement) => measurement.name);
  assert.ok(names.includes('drain') && names.includes('overhead'), names.join(', '));
});
