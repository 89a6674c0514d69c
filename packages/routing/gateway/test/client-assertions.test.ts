/**
 * Bytes of endpoints must not reach an assertion of the HTTP client: its message is built from the source of the client, which
 * takes seconds when that is bundled.
 */
import * as assert from 'node:assert/strict';
import { createRequire } from 'node:module';
import * as net from 'node:net';
import { mock, test } from 'node:test';
import * as fc from 'fast-check';
import type { Dispatcher } from 'undici';
import { EndpointConnection } from '../src/endpoint-connection.js';
import { formatResponse } from './fixture.js';
import type { Script } from './scripted-endpoint.js';
import { withGateway } from './with-gateway.js';

/** The requests of the HTTP client, which end with an assertion if they were aborted before. */
const ClientRequest = createRequire(import.meta.url)('undici/lib/core/request.js') as {
  readonly prototype: { onComplete: () => void };
};

const LINE_ENDS = ['\r\n', '\r\n', '\r\n', '\n', '\r', ''];
const STATUS_LINES = [
  'HTTP/1.1 200 OK',
  'HTTP/1.1 200 OK',
  'HTTP/1.1 204 No Content',
  'HTTP/1.1 304',
  'HTTP/1.1 000 None',
  'HTTP/1.1 000',
  'HTTP/1.1 099 None',
  'HTTP/1.1 103 Early Hints',
  'HTTP/1.1 103',
  'HTTP/1.1 100 Continue',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.0 200 OK',
  'HTTP/1.0 050',
  'HTTP/2.0 000 None',
  'RTSP/1.0 000 None',
  'ICE/1.0 000 None',
  'HTTP/1.1 000None',
  'HTTP/1.1  000',
  'HTTP/1.1 ',
  '',
];
const HEADERS = [
  'Content-Length: 3',
  'Content-Length: 0',
  'Content-Length: 5',
  'Transfer-Encoding: chunked',
  'Transfer-Encoding: gzip',
  'Connection: close',
  'Connection: upgrade\r\nUpgrade: x',
  'Connection: keep-alive',
  'Keep-Alive: timeout=0',
  'Keep-Alive: timeout=99999999999',
  'Empty:',
  'Empty: ',
  'Plain: x',
  'Plain: x\r\n folded',
  'No-Value',
  ': no name',
];
const BODIES = [
  'abc',
  'abcHTTP/1.1 000 None\r\n\r\n',
  '3\r\nabc\r\n0\r\n\r\n',
  '3\r\nabc\r\n0\r\nTrailer:\r\n\r\n',
  '0\r\nTrailer: x\r\nTrailer\r\n\r\n',
  '3;a=b\r\nabc',
  '',
  '\r\n',
];

function chooseLine(lines: readonly string[]): fc.Arbitrary<string> {
  return fc
    .tuple(fc.constantFrom(...lines), fc.constantFrom(...LINE_ENDS))
    .map(([line, end]) => line + end);
}

/** Mostly well-formed messages, since others end in the parser. */
const message = fc
  .tuple(
    chooseLine(STATUS_LINES),
    fc.array(chooseLine(HEADERS), { maxLength: 4 }),
    chooseLine(['']),
    fc.constantFrom(...BODIES),
  )
  .map(([line, headers, end, body]) => line + headers.join('') + end + body);

type Ending = 'open' | 'end' | 'reset';

/** Cuts a text into packets of the sizes, in turn. */
function cut(text: string, sizes: readonly number[]): readonly string[] {
  const packets: string[] = [];
  let at = 0;
  for (let index = 0; at < text.length; index += 1) {
    const size = sizes[index % sizes.length] as number;
    packets.push(text.slice(at, at + size));
    at += size;
  }
  return packets;
}

/** Returns the code of the error with which a request ends whose endpoint sends the packets; undefined without an error. */
async function findErrorCode(
  method: Dispatcher.HttpMethod,
  packets: readonly string[],
  ending: Ending,
): Promise<string | undefined> {
  const server = net.createServer((socket) => {
    socket.setNoDelay();
    socket.on('error', () => {});
    socket.once('data', () => {
      for (const packet of packets) {
        socket.write(packet);
      }
      if (ending === 'end') {
        socket.end();
      } else if (ending === 'reset') {
        socket.resetAndDestroy();
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const connection = new EndpointConnection(
    `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    {
      requestIdHeader: 'request-id',
      onRepeatedResponse: () => {},
      onClosed: () => {},
      onSocketOpened: () => {},
      onSocketClosed: () => {},
    },
  );
  const error = await new Promise<Error | undefined>((resolve) => {
    const timer = setTimeout(() => resolve(undefined), 10);
    const settle = (result: Error | undefined): void => {
      clearTimeout(timer);
      resolve(result);
    };
    connection.dispatch(
      'r1',
      { path: '/', method, body: method === 'POST' ? 'x' : null },
      {
        onRequestStart: () => {},
        onResponseStart: () => {},
        onResponseData: () => {},
        onResponseEnd: () => settle(undefined),
        onResponseError: (_controller, failure) => settle(failure),
      },
    );
  });
  connection.destroy();
  server.close();
  return error !== undefined && 'code' in error ? String(error.code) : undefined;
}

// Guards against bytes for which the check of the status line and the parser of the HTTP client differ.
test('no bytes of an endpoint fail an assertion of the HTTP client', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom<Dispatcher.HttpMethod>('GET', 'POST', 'HEAD'),
      fc.array(message, { minLength: 1, maxLength: 4 }),
      fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1, maxLength: 10 }),
      fc.constantFrom<Ending>('open', 'end', 'reset'),
      async (method, messages, sizes, ending) => {
        const code = await findErrorCode(method, cut(messages.join(''), sizes), ending);
        assert.notEqual(code, 'ERR_ASSERTION');
      },
    ),
    { seed: 1, numRuns: 2000 },
  );
});

// Guards against a request that is aborted while the HTTP client still parses the packet that ends its response.
test('a response that exceeds the memory with its last packet is no assertion', async () => {
  const script: Script = (socket, request, number) => {
    // One of the bodies exceeds the memory that the gateway has for responses with what its last packet holds.
    const body = 'x'.repeat(8_000_000 + number * 20_000);
    socket.end(formatResponse(request, body).replace('Seal', 'Connection: close\r\nSeal'));
  };
  const onComplete = mock.method(ClientRequest.prototype, 'onComplete');
  const statuses = new Set<number | undefined>();
  try {
    await withGateway([script], {}, async ({ gateway }) => {
      for (let count = 0; count < 50; count += 1) {
        statuses.add((await gateway.send({ body: 'x' }))?.status);
      }
    });
  } finally {
    onComplete.mock.restore();
  }
  assert.deepEqual([...statuses], [200, 502]);
  assert.deepEqual(
    onComplete.mock.calls.flatMap(({ error }) => error ?? []),
    [],
  );
});
