import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { SilentAddress } from '@dogwoodstall/stand-ins';
import * as machineList from '../src/index.js';

const vm: machineList.Vm = {
  name: 'a1',
  zone: 'zone-a',
  region: 'r',
  peerAddress: '127.0.0.1:9000',
  state: 'live',
};

test(
  'the last list is kept while the platform is unavailable or returns invalid responses',
  { timeout: 20_000 },
  async (context) => {
    let status = 200;
    let body = JSON.stringify({ machines: [vm] });
    const server = http.createServer((_request, response) => {
      response.writeHead(status).end(body);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    let failures = 0;
    const poller = new machineList.VmListPoller({
      address,
      pollMilliseconds: 10,
      onFailure: (error) => {
        assert.equal(error.failure.kind, 'MachineListUnavailable');
        failures += 1;
      },
    });
    context.after(async () => {
      await poller.stop();
      server.closeAllConnections();
      server.close();
    });
    const lists: (readonly machineList.Vm[])[] = [];
    const waitForLists = async (count: number): Promise<void> => {
      while (lists.length < count) {
        await new Promise(setImmediate);
      }
    };
    const waitForFailures = async (count: number): Promise<void> => {
      while (failures < count) {
        await new Promise(setImmediate);
      }
    };
    poller.changes.forEach((machines) => lists.push(machines)).catch(assert.fail);
    assert.equal(poller.ageMilliseconds, undefined);
    poller.start();
    await waitForLists(1);
    status = 503;
    await waitForFailures(2);
    status = 200;
    body = '{"machines":[{"name":1}]}';
    await waitForFailures(failures + 2);
    assert.deepEqual(poller.machines, [vm]);
    assert.ok(poller.ageMilliseconds! > 0);
    body = JSON.stringify({ machines: [{ ...vm, state: 'leaving' }] });
    await waitForLists(2);
    assert.equal(poller.machines[0]?.state, 'leaving');
  },
);

// Guards against a list whose loss is reported late, and a daemon whose stop waits for a connection to the platform.
test(
  'a poll of a list whose host is gone without a trace fails with its timeout and ends when the poller stops',
  { timeout: 20_000 },
  async (context) => {
    const silent = await SilentAddress.open();
    context.after(() => silent.close());
    const failed = new Promise<void>((resolve) => {
      const poller = new machineList.VmListPoller({
        address: silent.address,
        pollMilliseconds: 10,
        onFailure: () => resolve(),
      });
      context.after(() => poller.stop());
      poller.start();
    });
    const startedAt = performance.now();
    await failed;
    const untilFailure = performance.now() - startedAt;
    assert.ok(untilFailure < 2300, `${untilFailure} ms until the failure`);
    const poller = new machineList.VmListPoller({ address: silent.address });
    poller.start();
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    const stoppedAt = performance.now();
    await poller.stop();
    const untilStop = performance.now() - stoppedAt;
    assert.ok(untilStop < 300, `${untilStop} ms until the stop`);
  },
);
