/**
 * The first of eight machines is removed for good. Then the others are restarted, one after the other, and four seconds
 * after each is ready again a route is added. Two seconds after the acknowledgement, every machine has to know the route.
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { createConfiguration } from '../stand-ins-3/configuration.mjs';
import { Deployment } from '../stand-ins-3/deployment.mjs';
import { Endpoint } from '../stand-ins-3/endpoint.mjs';
import { GoneMachine } from '../stand-ins-3/gone-machine.mjs';
import { Store } from '../stand-ins-3/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'valuation.example';
const SERVICE = 'avaliacao';
const CONTROL_PORT = 8166;
const MACHINES = 8;
/** `stability_window_ms` and a second, after which a restarted machine is in touch. */
const IN_TOUCH_MILLISECONDS = 4000;
const CONFIG_APPLY_MILLISECONDS = 2000;
const LOOKS = 3;
const PAUSE_MILLISECONDS = 500;

const lines = [];
const startedAt = performance.now();
function record(text, at = performance.now()) {
  lines.push(`${((at - startedAt) / 1000).toFixed(3)} s  ${text}`);
}

function createRoutes(version) {
  return Array.from({ length: version }, (_, index) => ({
    name: `r-${index + 1}`,
    host: HOST,
    prefix: `/r${index + 1}/`,
    kind: 'safe',
    timeout_ms: 1200,
    target_latency_ms: 400,
    service: SERVICE,
  }));
}

let sent = 0;

/** Sends a request on a connection of its own; resolves with its status, or the reason why there is none. */
function look({ front, name }, path) {
  sent += 1;
  const id = `look-${sent}`;
  record(`${id} is sent to ${name}: GET ${path}`);
  return new Promise((resolve) => {
    const request = http.get(
      {
        ...front,
        agent: false,
        path,
        headers: { Host: HOST, 'Request-Id': id, 'Deadline-Ms': 1200 },
      },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
      },
    );
    request.on('error', ({ code }) => resolve(code));
  });
}

async function restart(machine) {
  const former = machine.ends.length;
  machine.signal('SIGTERM');
  while (machine.ends.length === former || !(await machine.isReady())) {
    await delay(20);
  }
}

async function run() {
  const store = new Store();
  await store.listen('127.0.0.1');
  let version = 1;
  const putConfiguration = () =>
    store.put(
      'op/config',
      createConfiguration({ version, services: [SERVICE], routes: createRoutes(version) }),
    );
  putConfiguration();
  const endpoints = Array.from(
    { length: 6 },
    () => new Endpoint({ service: SERVICE, host: '127.0.0.1', slots: 2, work: () => 20 }),
  );
  for (const endpoint of endpoints) {
    await endpoint.listen();
    endpoint.register(store);
  }
  const deployment = await Deployment.create({ count: MACHINES, storeAddress: store.address });
  let gone;
  let old = 0;
  try {
    await deployment.start();
    const [first, ...others] = deployment.machines;
    record('all machines are ready');
    if (TROUBLE) {
      await first.remove();
      gone = await GoneMachine.create(first.host, CONTROL_PORT);
      record(`${first.name} is removed for good`);
    }
    const running = TROUBLE ? others : deployment.machines;
    for (const machine of others) {
      await delay(PAUSE_MILLISECONDS);
      await restart(machine);
      record(`${machine.name} was restarted and is ready`);
      await delay(IN_TOUCH_MILLISECONDS);
      version += 1;
      putConfiguration();
      record(`version ${version} is acknowledged, with the new route /r${version}/`);
      await delay(CONFIG_APPLY_MILLISECONDS + 100);
      for (let count = 0; count < LOOKS; count += 1) {
        for (const looked of running) {
          const status = await look(looked, `/r${version}/x`);
          record(`look-${sent} is answered: ${status}`);
          old += status === 404 ? 1 : 0;
        }
        await delay(100);
      }
    }
    for (const { id, at, endpoint } of endpoints.flatMap(({ runs }) => runs)) {
      record(`${id} is run by ${endpoint}`, at);
    }
    record(`${old} of ${sent} requests were refused as only an older version allows`);
    record(old > 0 ? 'the rule is broken' : 'the rule held');
    return old > 0 ? 1 : 0;
  } finally {
    gone?.close();
    await deployment.stop();
    endpoints.forEach((endpoint) => endpoint.close());
    store.close();
  }
}

let status = 2;
try {
  status = await run();
} catch (error) {
  record(`the case could not run: ${error.stack}`);
}
fs.writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
process.exit(status);
