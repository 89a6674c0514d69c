import * as assert from 'node:assert/strict';
import { once } from 'node:events';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { type Dispatcher, Agent } from 'undici';
import { openCallerBody } from '../src/caller-body.js';
import { transfer, type TransferResult } from '../src/transfer.js';
import { createFleet, startBackend, startDaemon } from './fixture.js';

// Simulates a connection whose parser delivers bytes of another response.
function createMixedUpDispatcher(): Dispatcher {
  const dispatch = (_options: unknown, handler: Dispatcher.DispatchHandler): boolean => {
    const controller = { abort: () => {}, pause: () => {}, resume: () => {} };
    const given = controller as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(given, {});
    handler.onResponseStart?.(given, 200, { 'content-length': '10' }, 'OK');
    handler.onResponseData?.(given, Buffer.from('other'));
    setImmediate(() => handler.onResponseEnd?.(given, {}));
    return true;
  };
  return Object.assign(new Agent(), { dispatch });
}

test('a response whose length differs from Content-Length is truncated and reported as mixed up', async (context) => {
  let end: TransferResult | undefined;
  const server = http.createServer(async (request, response) => {
    end = await transfer({
      dispatcher: createMixedUpDispatcher(),
      origin: 'http://127.0.0.1',
      path: '/',
      method: 'GET',
      headers: [],
      body: await openCallerBody(request, 0, 0),
      response,
      signal: new AbortController().signal,
      onBeforeSend: () => {},
      classifyResponse: () => ({ forward: true, headers: { 'content-length': '10' } }),
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  const before = results.getViolationCounts().get('AnswerMixedUp') ?? 0;
  const request = http.get({ port: (server.address() as AddressInfo).port });
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  response.on('error', () => {});
  // `once` would reject with the error of the truncated response.
  await new Promise((resolve) => {
    response.resume().on('close', resolve);
  });
  assert.equal(response.complete, false);
  assert.equal(end?.kind, 'cut');
  assert.equal(results.getViolationCounts().get('AnswerMixedUp'), before + 1);
});

test('the head of a streamed response does not wait for its first body byte', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.flushHeaders());
  const home = await startDaemon(context, createFleet([backend.address]));
  const fleet = createFleet([backend.address], {
    planDispatch: () => [{ kind: 'peer', peer: home.peer }],
  });
  const entry = await startDaemon(context, fleet, 'daemon-b');
  const request = http.get({ port: entry.port, headers: { host: 'shop.test' } });
  request.on('error', () => {});
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  assert.equal(response.statusCode, 200);
  request.destroy();
});
