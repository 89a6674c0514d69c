import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { callWithTimeout, rejectOnAbort } from '../src/index.js';

const TIMEOUT_MILLISECONDS = 50;

// Guards against timeouts that hold only for calls that heed their signal.
test('a call that ignores its signal is rejected when that is aborted, and may fail later', async () => {
  const ignoring = delay(4 * TIMEOUT_MILLISECONDS).then(() => Promise.reject(new Error('late')));
  const startedAt = performance.now();
  await assert.rejects(
    callWithTimeout(TIMEOUT_MILLISECONDS, new AbortController().signal, (signal) =>
      rejectOnAbort(signal, ignoring),
    ),
    /no response within 50 ms/,
  );
  assert.ok(performance.now() - startedAt < 3 * TIMEOUT_MILLISECONDS);
  await assert.rejects(ignoring, /late/);
});

test('a call of which the signal was aborted before is rejected', async () => {
  const call = rejectOnAbort(AbortSignal.abort(new Error('closing')), delay(TIMEOUT_MILLISECONDS));
  await assert.rejects(call, /closing/);
});

test('a call that ends before its signal is aborted settles as it does', async () => {
  const { signal } = new AbortController();
  assert.equal(await rejectOnAbort(signal, Promise.resolve(7)), 7);
  await assert.rejects(rejectOnAbort(signal, Promise.reject(new Error('refused'))), /refused/);
});
