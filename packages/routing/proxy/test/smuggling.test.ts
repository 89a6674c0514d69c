import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as results from '@dogwoodstall/results';
import { call, callRaw, createFleet, startBackend, startDaemon } from './fixture.js';

const HOST = 'Host: shop.test\r\n';

/** Raw requests that two implementations could parse differently, and the expected result. */
const refusedRequests: readonly [string, string, results.ResultName][] = [
  [
    'Content-Length and Transfer-Encoding',
    `POST / HTTP/1.1\r\n${HOST}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    'RequestAmbiguousLength',
  ],
  [
    'two different lengths',
    `POST / HTTP/1.1\r\n${HOST}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde`,
    'RequestAmbiguousLength',
  ],
  [
    'the same length twice',
    `POST / HTTP/1.1\r\n${HOST}Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd`,
    'RequestAmbiguousLength',
  ],
  [
    'a signed length',
    `POST / HTTP/1.1\r\n${HOST}Content-Length: +4\r\n\r\nabcd`,
    'RequestAmbiguousLength',
  ],
  [
    'a list of lengths',
    `POST / HTTP/1.1\r\n${HOST}Content-Length: 4, 4\r\n\r\nabcd`,
    'RequestAmbiguousLength',
  ],
  [
    'a second encoding',
    `POST / HTTP/1.1\r\n${HOST}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    'RequestAmbiguousLength',
  ],
  [
    'an unknown encoding',
    `POST / HTTP/1.1\r\n${HOST}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
    'RequestAmbiguousLength',
  ],
  [
    'a space before the colon',
    `POST / HTTP/1.1\r\n${HOST}Content-Length : 4\r\n\r\nabcd`,
    'RequestMalformed',
  ],
  ['a bare LF', `GET / HTTP/1.1\nHost: shop.test\n\n`, 'RequestMalformed'],
  ['a bare CR in a value', `GET / HTTP/1.1\r\n${HOST}X: a\rb\r\n\r\n`, 'RequestMalformed'],
  ['a bare LF in a value', `GET / HTTP/1.1\r\n${HOST}X: a\nY: b\r\n\r\n`, 'RequestMalformed'],
  ['a folded header', `GET / HTTP/1.1\r\n${HOST}X: a\r\n b\r\n\r\n`, 'RequestMalformed'],
  ['no host', 'GET / HTTP/1.1\r\n\r\n', 'RequestHostInvalid'],
  ['two hosts', `GET / HTTP/1.1\r\n${HOST}Host: other\r\n\r\n`, 'RequestHostInvalid'],
  ['an invalid host', 'GET / HTTP/1.1\r\nHost: a b\r\n\r\n', 'RequestHostInvalid'],
  ['an absolute target', `GET http://other/ HTTP/1.1\r\n${HOST}\r\n`, 'RequestMalformed'],
  ['CONNECT', `CONNECT other:443 HTTP/1.1\r\n${HOST}\r\n`, 'MethodUnsupported'],
  [
    'an upgrade',
    `GET / HTTP/1.1\r\n${HOST}Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n`,
    'MethodUnsupported',
  ],
  ['HTTP/1.0', `GET / HTTP/1.0\r\n${HOST}\r\n`, 'RequestMalformed'],
  [
    'oversized headers',
    `GET / HTTP/1.1\r\n${HOST}X: ${'x'.repeat(9000)}\r\n\r\n`,
    'RequestHeadersTooLarge',
  ],
  [
    'an oversized chunk',
    `POST / HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\nZZ\r\n`,
    'RequestMalformed',
  ],
];

for (const [name, text, expected] of refusedRequests) {
  test(`a request with ${name} is rejected with a result code and reaches no backend server`, async (context) => {
    const backend = await startBackend(context, (request, response) => {
      request.resume().on('end', () => response.end());
    });
    const daemon = await startDaemon(context, createFleet([backend.address]));
    const ending = text.includes('ZZ')
      ? ''
      : `GET /second HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`;
    const received = await callRaw(daemon.port, text + ending);
    const { number } = results.findResult(expected);
    assert.match(received, /^HTTP\/1.1 [45]\d\d /);
    assert.match(received, new RegExp(`Dogwoodstall-Result: ${number}\r\n`));
    assert.match(received, /Dogwoodstall-Execution: not-/);
    assert.match(received, /Request-Id: /);
    assert.ok(backend.requests.every(({ url }) => url === '/second'));
  });
}

test('hop-by-hop headers and headers named in Connection are forwarded in neither direction', async (context) => {
  const backend = await startBackend(context, (_request, response) => {
    response.setHeader('Connection', 'keep-alive, X-Answer');
    response.setHeader('X-Answer', 'secret');
    response.setHeader('Dogwoodstall-Result', '9999');
    response.setHeader('X-Kept', 'kept');
    response.end('ok');
  });
  const daemon = await startDaemon(context, createFleet([backend.address]));
  const headers = {
    connection: 'keep-alive, X-Hop, Content-Length',
    'x-hop': 'secret',
    te: 'trailers',
    'proxy-authorization': 'secret',
    'dogwoodstall-forward-kind': 'home',
    'x-through': 'through',
  };
  const callerResponse = await call(daemon.port, { method: 'POST', body: 'abc', headers });
  assert.equal(callerResponse.headers['x-answer'], undefined);
  assert.equal(callerResponse.headers['dogwoodstall-result'], '0');
  assert.equal(callerResponse.headers['x-kept'], 'kept');
  const received = backend.requests[0]?.headers ?? {};
  for (const name of ['x-hop', 'te', 'proxy-authorization', 'dogwoodstall-forward-kind']) {
    assert.equal(received[name], undefined, name);
  }
  assert.equal(received['x-through'], 'through');
  assert.equal(received['content-length'], '3');
});

test('slow headers and a stalled body are rejected, so that idle callers occupy no connection', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end());
  const limits = { headerMilliseconds: 200, bodyPauseMilliseconds: 200 };
  const daemon = await startDaemon(context, createFleet([backend.address], { limits }));
  const headers = await callRaw(daemon.port, `GET / HTTP/1.1\r\n${HOST}`);
  assert.match(headers, /Dogwoodstall-Result: 2006/);
  const body = `POST / HTTP/1.1\r\n${HOST}Connection: close\r\nContent-Length: 10\r\n\r\nabc`;
  assert.match(await callRaw(daemon.port, body), /Dogwoodstall-Result: 2006/);
  assert.equal(backend.requests.length, 0);
});

test('a body above the limit of the route is rejected before anything is sent', async (context) => {
  const backend = await startBackend(context, (_request, response) => response.end());
  const daemon = await startDaemon(context, createFleet([backend.address], { bodyLimit: 10 }));
  const callerResponse = await call(daemon.port, { method: 'POST', body: 'x'.repeat(11) });
  assert.equal(callerResponse.status, 413);
  assert.equal(backend.requests.length, 0);
});
