import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as measure from '../src/index.js';

const program = fileURLToPath(new URL('../src/start.js', import.meta.url));

for (const name of ['sertao-sistemas', 'cadeaupot']) {
  test(`example ${name} starts and serves each of its generated routes`, async () => {
    const started = new measure.ManagedProcess('start', [program, '--example', name, '--check']);
    const end = await started.exited;
    assert.equal(end.code, 0, started.output);
    const { topology } = await measure.readExample(name);
    for (const route of topology.services.flatMap((service) => service.routes)) {
      assert.ok(started.output.includes(`check of route ${route.name}`), route.name);
    }
  });
}

test('the first change of an example has the zones and contracts of the plan and the addresses of the stand-ins', async () => {
  const { createFirstChange } = await measure.readExample('sertao-sistemas');
  const placed = { service: 'avaliacao', slots: 2, connectionLimit: 330 };
  const { operations } = createFirstChange([
    { ...placed, name: 'avaliacao-1', address: '127.0.0.1:1' },
    { ...placed, name: 'avaliacao-2', address: '127.0.0.1:2' },
  ]);
  const servers = operations.flatMap((operation) =>
    operation.action === 'put' && operation.kind === 'backendServer' ? [operation.entity] : [],
  );
  assert.equal(servers.length, 31);
  assert.deepEqual(
    servers.slice(0, 2).map(({ name, address, zone }) => [name, address, zone]),
    [
      ['avaliacao-1', '127.0.0.1:1', 'recife-a'],
      ['avaliacao-2', '127.0.0.1:2', 'recife-a'],
    ],
  );
  const [service] = operations.flatMap((operation) =>
    operation.action === 'put' && operation.kind === 'service' ? [operation.entity] : [],
  );
  assert.equal(service?.contract.keyLifetimeMilliseconds, 3_600_000);
});

test('an unknown example is refused with its name', async () => {
  await assert.rejects(measure.readExample('no-such-example'), /no example "no-such-example"/);
});
