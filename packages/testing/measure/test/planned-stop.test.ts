import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import * as undici from 'undici';
import * as measure from '../src/index.js';

const UPLOAD_BYTES = 200_000;
const POLL_MILLISECONDS = 20;

interface HttpResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
}

async function confirm(address: string, key?: string): Promise<HttpResponse> {
  const response = await undici.request(`http://${address}/confirmations/1?work=1`, {
    method: 'POST',
    headers: {
      host: 'avaliacao.test',
      'dogwoodstall-organisation-token': measure.callerTokenOf('sertao'),
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    },
    body: 'bind',
    reset: true,
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    body: await response.body.text(),
  };
}

async function fetchKey(address: string): Promise<string> {
  const { headers } = await confirm(address);
  return String(headers['idempotency-key']);
}

function startUpload(address: string): http.ClientRequest {
  const [host, port] = address.split(':');
  const upload = http.request({
    host,
    port,
    method: 'PUT',
    path: '/documents/1?work=1',
    headers: {
      host: 'arquivo.test',
      'dogwoodstall-organisation-token': measure.callerTokenOf('sertao'),
      'content-length': UPLOAD_BYTES,
    },
  });
  upload.write('x'.repeat(UPLOAD_BYTES / 2));
  return upload;
}

async function hasUpload(fleet: measure.LocalFleet): Promise<boolean> {
  type Counters = Record<string, { readonly inFlight: number }>;
  const counters = await fleet.backends('arquivo').control.get<Counters>('/counters');
  return Object.values(counters).some(({ inFlight }) => inFlight > 0);
}

test('a stopping daemon transfers its idempotency records and completes an upload in progress', async () => {
  const example = measure.createExampleTopology();
  const topology = { ...example, zones: example.zones.slice(0, 1), daemonsPerZone: 2 };
  const fleet = await measure.LocalFleet.start({ topology, seed: 1 });
  try {
    const [first] = fleet.daemons;
    const homeName = (await fetchKey(first?.callerAddress ?? '')).split('.')[0];
    const home = fleet.daemons.find(({ name }) => name === homeName);
    const other = fleet.daemons.find(({ name }) => name !== homeName);
    assert.ok(home && other);
    const [used, fresh] = [await fetchKey(home.callerAddress), await fetchKey(home.callerAddress)];
    const ran = await confirm(other.callerAddress, used);
    assert.equal(ran.status, 200);
    const upload = startUpload(home.callerAddress);
    const uploadResponded = once(upload, 'response') as Promise<[http.IncomingMessage]>;
    while (!(await hasUpload(fleet))) {
      await sleep(POLL_MILLISECONDS);
    }
    let running = true;
    const ended = home.stop().finally(() => {
      running = false;
    });
    // Before and after the record transfer: through the stopping daemon's peer port, then without it.
    for (const key of [used, fresh, fresh]) {
      const response = await confirm(other.callerAddress, key);
      assert.equal(response.status, 200, response.body);
      assert.equal(response.headers['dogwoodstall-execution'], 'ran');
    }
    while (!other.output.includes('idempotency records were taken over')) {
      await sleep(POLL_MILLISECONDS);
    }
    assert.equal(running, true);
    upload.end('x'.repeat(UPLOAD_BYTES / 2));
    const [uploadResponse] = await uploadResponded;
    assert.equal(uploadResponse.statusCode, 200);
    uploadResponse.resume();
    assert.deepEqual(await ended, { code: 0, signal: null });
    const replayed = await confirm(other.callerAddress, used);
    assert.equal(replayed.body, ran.body);
    const { keys } = await fleet.readExecutions();
    assert.deepEqual([keys[used]?.started, keys[fresh]?.started], [1, 1]);
  } finally {
    await fleet.stop();
  }
});
