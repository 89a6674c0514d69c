import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { isFailure } from '@dogwoodstall/results';
import { SilentAddress } from '@dogwoodstall/stand-ins';
import { requestState } from '../src/state-server.js';
import { listenWithoutResponse } from './unresponsive-server.js';

/** The timeout of a request and the delay of its timer. */
const LONGEST_MILLISECONDS = 1000;
const request = { configurationVersion: 0, directoryRevision: 0, members: [] };

async function measureFailure(address: string): Promise<number> {
  const startedAt = performance.now();
  await assert.rejects(requestState(address, request, new AbortController().signal), (error) =>
    isFailure(error, 'PeerUnreachable'),
  );
  return performance.now() - startedAt;
}

// Guards against a daemon that waits ten seconds for a connection to one that is gone, and learns nothing meanwhile.
test('a request for the state of a daemon that is gone without a trace ends within its timeout', async (context) => {
  const silent = await SilentAddress.open();
  context.after(() => silent.close());
  const milliseconds = await measureFailure(silent.address);
  assert.ok(milliseconds < LONGEST_MILLISECONDS, `${milliseconds} ms`);
});

// Guards against requests that are only bounded while the connection is established.
test('a request for the state of a daemon that accepts and never responds ends within its timeout', async (context) => {
  const milliseconds = await measureFailure(await listenWithoutResponse(context));
  assert.ok(milliseconds < LONGEST_MILLISECONDS, `${milliseconds} ms`);
});

// Guards against a daemon that can't end because of a request to one that is gone.
test('a request for the state of a daemon ends when the requesting daemon closes', async (context) => {
  const address = await listenWithoutResponse(context);
  const closing = new AbortController();
  const startedAt = performance.now();
  const failed = assert.rejects(requestState(address, request, closing.signal));
  closing.abort(new Error('closing'));
  await failed;
  assert.ok(performance.now() - startedAt < 300);
});
