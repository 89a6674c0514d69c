import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import * as msgpack from '@msgpack/msgpack';
import * as fc from 'fast-check';
import * as datagrams from '../src/index.js';

const ask: datagrams.Message = [
  'ask',
  {
    askId: 7,
    cell: 'valuation@a#1',
    route: 'offers',
    zone: 'a',
    idempotent: true,
    priority: 1,
    remaining: 1500,
    target: 400,
    repeated: false,
    moved: false,
    waitedElsewhere: 0,
    kilobytes: 60,
    fingerprint: '1x',
    excluded: ['i-1'],
    mayProbe: false,
    organisation: '',
    maximumLoad: 80,
  },
];

const messages: datagrams.Message[] = [
  ['borrow', { sequence: 3, organisation: 'shop', wanted: 2, pledge: 5 }],
  [
    'lend',
    {
      sequence: 3,
      organisation: 'shop',
      tokens: 2,
      retryAfter: 0,
      settling: false,
      share: 0.5,
    },
  ],
  ['pledge', { group: 1, sequence: 4, purpose: 'renew', pledge: 15 }],
  [
    'pledged',
    { group: 1, sequence: 4, purpose: 'renew', declined: false, keeping: true, share: 1 },
  ],
  ask,
  [
    'grant',
    {
      askId: 7,
      grantId: 9,
      endpoint: 'i-1',
      address: '10.1.0.1:80',
      hedgeAfter: 200,
      reuseWithin: 60_000,
      load: 40,
      lifetime: 1,
    },
  ],
  ['queued', 7],
  ['refuse', { askId: 7, reason: 'overload', retryAfter: 120, load: 130 }],
  ['withdraw', 7],
  [
    'report',
    {
      grantId: 9,
      outcome: 'success',
      elapsed: 80,
      load: -1,
      silent: false,
      rested: 0,
      announcement: { requestsPerSecond: 6.6, leaving: false, pauseMilliseconds: 0 },
    },
  ],
  ['acknowledge', 9],
];

test('a message is unchanged after encoding and decoding', () => {
  for (const message of messages) {
    assert.deepEqual(datagrams.decodeMessage(datagrams.encodeMessage(message)), message);
  }
});

test('an encoded ask stays below 150 bytes, because traffic between zones is billed', () => {
  assert.ok(datagrams.encodeMessage(ask).length < 150);
});

test('decoding arbitrary or truncated bytes never throws and yields no malformed message', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      const decoded = datagrams.decodeMessage(bytes);
      assert.ok(decoded === undefined || typeof decoded[0] === 'string');
    }),
  );
  const whole = datagrams.encodeMessage(ask);
  assert.equal(datagrams.decodeMessage(whole.subarray(0, whole.length - 3)), undefined);
});

test('a socket delivers messages and reports malformed datagrams', async () => {
  const received: datagrams.Message[] = [];
  let malformed = 0;
  const port = new datagrams.DatagramSocket({
    onMessage: (message) => received.push(message),
    onMalformed: () => {
      malformed += 1;
    },
    onSendError: (error) => {
      throw error;
    },
    onHandlerError: (error) => {
      throw error;
    },
  });
  await port.bind({ host: '127.0.0.1', port: 0 });
  const sender = dgram.createSocket('udp4');
  try {
    sender.send(datagrams.encodeMessage(ask), port.address.port, '127.0.0.1');
    sender.send('nonsense', port.address.port, '127.0.0.1');
    await delay(100);
    assert.deepEqual(received, [ask]);
    assert.equal(malformed, 1);
  } finally {
    sender.close();
    port.close();
  }
});

test('a message whose handling fails is reported and the next one is delivered', async () => {
  const errors: unknown[] = [];
  const received: datagrams.Message[] = [];
  const socket = new datagrams.DatagramSocket({
    onMessage: (message) => {
      received.push(message);
      if (received.length === 1) {
        throw new Error('unexpected');
      }
    },
    onMalformed: () => {},
    onSendError: () => {},
    onHandlerError: (error) => errors.push(error),
  });
  await socket.bind({ host: '127.0.0.1', port: 0 });
  const sender = dgram.createSocket('udp4');
  try {
    sender.send(datagrams.encodeMessage(ask), socket.address.port, '127.0.0.1');
    sender.send(datagrams.encodeMessage(ask), socket.address.port, '127.0.0.1');
    await delay(100);
    assert.equal(received.length, 2);
    assert.equal(errors.length, 1);
  } finally {
    sender.close();
    socket.close();
  }
});

test('a slot request with a target that service times can not be relative to is malformed', () => {
  for (const target of [0, -400]) {
    const encoded = datagrams.encodeMessage(['ask', { ...ask[1], target }]);
    assert.equal(datagrams.decodeMessage(encoded), undefined);
  }
});

test('a slot request of an older daemon, which tells neither the time waited elsewhere nor whether it may probe nor a maximum load, is decoded', () => {
  const values = msgpack.decode(datagrams.encodeMessage(ask)) as unknown[];
  for (const missing of [1, 2, 3, 4]) {
    const decoded = datagrams.decodeMessage(msgpack.encode(values.slice(0, -missing)));
    assert.deepEqual(decoded, ['ask', { ...ask[1], maximumLoad: null }]);
  }
});

// Guards against a fleet that is updated daemon by daemon and whose daemons don't understand each other.
test('a pong of an older daemon, which tells of retries, is decoded', () => {
  const pong: datagrams.Message = [
    'pong',
    {
      sequence: 1,
      stopping: false,
      settled: true,
      configurationVersion: 1,
      directoryRevision: 1,
      storeAge: 0,
      memberDigest: 'x',
      cells: [{ name: 'valuation', suspects: [] }],
      drains: [],
    },
  ];
  const values = msgpack.decode(datagrams.encodeMessage(pong)) as unknown[];
  // An older daemon has no field after the cells, or fields that this one does not know.
  assert.deepEqual(datagrams.decodeMessage(msgpack.encode(values.slice(0, 9))), pong);
  const older = values
    .slice(0, 9)
    .with(-1, [{ name: 'valuation', suspects: [], retries: [['daemon-1 1', 10, 2, 100]] }]);
  older.push(20_000, [['archive', 'daemon-1 1', 10, 2, 100]]);
  assert.deepEqual(datagrams.decodeMessage(msgpack.encode(older)), pong);
});

// Guards against an era that an older daemon takes for something else, or that is taken from what it sends.
test('the era of a pong is behind what older daemons expect there', () => {
  const pong: datagrams.Message = [
    'pong',
    {
      sequence: 1,
      stopping: false,
      settled: true,
      configurationVersion: 1,
      directoryRevision: 1,
      storeAge: 0,
      memberDigest: 'x',
      cells: [],
      directoryEra: 7,
      drains: [6],
    },
  ];
  const encoded = datagrams.encodeMessage(pong);
  assert.deepEqual(datagrams.decodeMessage(encoded), pong);
  const values = msgpack.decode(encoded) as unknown[];
  assert.deepEqual(values.slice(8), [[], 0, [], 7, [6]]);
});

// Guards against an odd entry of a daemon whose port ends each process that pings it.
test('an address that can not be sent to is reported like an error of the network', async () => {
  const failed: string[] = [];
  const socket = new datagrams.DatagramSocket({
    onMessage: () => {},
    onMalformed: () => {},
    onSendError: (error, { port }) => failed.push(`${port} ${(error as { code?: string }).code}`),
    onHandlerError: () => {},
  });
  await socket.bind({ host: '127.0.0.1', port: 0 });
  try {
    for (const port of [0, 70_000, 1.5]) {
      socket.send(ask, { host: '127.0.0.1', port });
    }
    await delay(50);
    const code = 'ERR_SOCKET_BAD_PORT';
    assert.deepEqual(failed, [`0 ${code}`, `70000 ${code}`, `1.5 ${code}`]);
  } finally {
    socket.close();
  }
});
