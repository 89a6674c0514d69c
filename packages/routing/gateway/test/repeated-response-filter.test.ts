import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { ConnectionHistory } from '../src/connection-history.js';
import { RepeatedResponseFilter } from '../src/repeated-response-filter.js';

const OWN = 'HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 4\r\n\r\nwell';
const copies: readonly string[] = [
  'HTTP/1.1 503 Refused\r\nRequest-Id: earlier\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 421 Misdirected\r\nrequest-id: earlier\r\ncontent-length: 12\r\n\r\nHTTP/1.1 200',
  'HTTP/1.1 503 Refused\r\nTransfer-Encoding: chunked\r\nRequest-Id: earlier\r\n\r\n5;a=b\r\nHTTP/\r\n0\r\n\r\n',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: earlier\r\n\r\n1\r\nx\r\n0\r\nTrailer: 1\r\n\r\n',
  'HTTP/1.1 204 No Content\r\nRequest-Id: earlier\r\n\r\n',
  'HTTP/1.1 200 OK\r\nRequest-Id: earlier-head\r\nContent-Length: 4000\r\n\r\n',
];
/** Left to the HTTP client as they are. */
const others: readonly string[] = [
  OWN,
  'HTTP/1.1 200 OK\r\nRequest-Id: unknown\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 503 Refused\r\nRequest-Id: earlier\r\n\r\nuntil the end',
  'no response',
  'HTTP/1.1 100 Continue\r\n\r\n',
];

function createFilter(): { filter: RepeatedResponseFilter; countRemoved: () => number } {
  const history = new ConnectionHistory();
  history.add({ requestId: 'earlier', method: 'POST' });
  history.add({ requestId: 'earlier-head', method: 'HEAD' });
  history.add({ requestId: 'own', method: 'POST' });
  let removed = 0;
  const filter = new RepeatedResponseFilter({
    history,
    requestIdHeader: 'request-id',
    onRemoved: () => {
      removed += 1;
    },
  });
  filter.expectResponse();
  return { filter, countRemoved: () => removed };
}

// Guards against a copy of which a part is left, or that takes a part of the response behind it along.
test('copies of earlier responses are removed whole, however the bytes are divided', () => {
  const sizes = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 });
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(...copies), { maxLength: 4 }),
      fc.constantFrom(...others),
      sizes,
      (before, last, chunkSizes) => {
        const { filter, countRemoved } = createFilter();
        const sent = Buffer.from([...before, last].join(''));
        const received: Buffer[] = [];
        let at = 0;
        for (let index = 0; at < sent.length; index += 1) {
          const size = chunkSizes[index % chunkSizes.length] as number;
          received.push(filter.filter(sent.subarray(at, at + size)));
          at += size;
        }
        assert.equal(Buffer.concat(received).toString(), last);
        assert.equal(countRemoved(), before.length);
      },
    ),
    { seed: 1, numRuns: 1000 },
  );
});

// Guards against bytes that are held back although they can't begin a response, so that the caller waits in vain.
test('bytes that begin no response are passed on at once', () => {
  for (const noise of ['x', 'HTTP/1.1x', 'HTTP/2', '\r\n']) {
    assert.equal(createFilter().filter.filter(Buffer.from(noise)).toString(), noise);
  }
  const endless = Buffer.from(`HTTP/1.1 200 OK\r\nA: ${'a'.repeat(70_000)}`);
  assert.equal(createFilter().filter.filter(endless).length, endless.length);
});
