import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import { callWithTimeout } from '../src/index.js';

const TIMEOUT_MILLISECONDS = 150;

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal.addEventListener('abort', () =>
      reject(signal.reason instanceof Error ? signal.reason : new Error('aborted')),
    );
  });
}

async function collectGarbage(): Promise<void> {
  v8.setFlagsFromString('--expose_gc');
  const collect = vm.runInNewContext('gc') as () => void;
  for (let count = 0; count < 10; count += 1) {
    collect();
    await delay(20);
  }
}

test('a call is aborted at its timeout even if garbage is collected in the meantime', async () => {
  const parent = new AbortController();
  const call = callWithTimeout(TIMEOUT_MILLISECONDS, parent.signal, waitForAbort);
  const timedOut = assert.rejects(call, /no response within 150 ms/);
  await collectGarbage();
  const late = delay(TIMEOUT_MILLISECONDS).then(() =>
    Promise.reject(new Error('the timeout was lost')),
  );
  await Promise.race([timedOut, late]);
  late.catch(() => {});
});

test('a call is aborted with its parent signal, even if that was aborted before the call', async () => {
  const parent = new AbortController();
  const call = callWithTimeout(60_000, parent.signal, waitForAbort);
  parent.abort(new Error('closing'));
  await assert.rejects(call, /closing/);
  await assert.rejects(
    callWithTimeout(60_000, parent.signal, (signal) => {
      signal.throwIfAborted();
      return Promise.resolve();
    }),
    /closing/,
  );
});
