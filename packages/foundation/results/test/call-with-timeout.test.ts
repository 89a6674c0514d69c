import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import { callWithTimeout } from '../src/index.js';

const LIMIT_MILLISECONDS = 150;

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

test('a call ends at its limit although garbage is collected meanwhile', async () => {
  const parent = new AbortController();
  const call = callWithTimeout(LIMIT_MILLISECONDS, parent.signal, waitForAbort);
  const ended = assert.rejects(call, /no answer within 150 ms/);
  await collectGarbage();
  const late = delay(LIMIT_MILLISECONDS).then(() => Promise.reject(new Error('the limit is lost')));
  await Promise.race([ended, late]);
  late.catch(() => {});
});

test('a call ends with its parent, also with one that was aborted before', async () => {
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
