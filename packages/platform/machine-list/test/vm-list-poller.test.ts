import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import * as machineList from '../src/index.js';

const machine: machineList.Vm = {
  name: 'a1',
  zone: 'zone-a',
  region: 'r',
  peerAddress: '127.0.0.1:9000',
  state: 'live',
};

test(
  'the last list is kept while the platform is away or answers nonsense',
  { timeout: 20_000 },
  async (context) => {
    let status = 200;
    let body = JSON.stringify({ machines: [machine] });
    const server = http.createServer((_request, answer) => {
      answer.writeHead(status).end(body);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    let failures = 0;
    const list = new machineList.VmListPoller({
      address,
      pollMilliseconds: 10,
      onFailure: (error) => {
        assert.equal(error.failure.kind, 'MachineListUnavailable');
        failures += 1;
      },
    });
    context.after(async () => {
      await list.stop();
      server.closeAllConnections();
      server.close();
    });
    const lists: (readonly machineList.Vm[])[] = [];
    const untilLists = async (count: number): Promise<void> => {
      while (lists.length < count) {
        await new Promise(setImmediate);
      }
    };
    const untilFailures = async (count: number): Promise<void> => {
      while (failures < count) {
        await new Promise(setImmediate);
      }
    };
    list.changes.forEach((machines) => lists.push(machines)).catch(assert.fail);
    assert.equal(list.ageMilliseconds, undefined);
    list.start();
    await untilLists(1);
    status = 503;
    await untilFailures(2);
    status = 200;
    body = '{"machines":[{"name":1}]}';
    await untilFailures(failures + 2);
    assert.deepEqual(list.machines, [machine]);
    assert.ok(list.ageMilliseconds! > 0);
    body = JSON.stringify({ machines: [{ ...machine, state: 'leaving' }] });
    await untilLists(2);
    assert.equal(list.machines[0]?.state, 'leaving');
  },
);
