import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import { once } from 'node:events';
import { PassThrough } from 'node:stream';
import { test } from 'node:test';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import * as observability from '../src/index.js';

interface CapturedLog {
  readonly log: observability.ProcessLog;
  readLines(): Promise<string[]>;
}

function captureLog(options: Partial<observability.LogOptions>): CapturedLog {
  const stream = new PassThrough();
  const log = new observability.ProcessLog({
    level: 'info',
    format: 'json',
    decisionShare: 1,
    ...options,
    stream,
  });
  return {
    log,
    readLines: async () => {
      await yieldToEventLoop();
      const text = String(stream.read() ?? '');
      return text.split('\n').filter((line) => line !== '');
    },
  };
}

test('exactly the configured share of the decisions is logged, so that the cost of logs is predictable', async () => {
  const { log, readLines } = captureLog({ decisionShare: 0.25 });
  const logger = log.getLogger('dispatch');
  for (let index = 0; index < 100; index += 1) {
    logger.decision('slot granted', { index });
  }
  assert.equal((await readLines()).length, 25);
});

test('lines contain the name of the component in both formats', async () => {
  const json = captureLog({ fields: { daemon: 'one' } });
  json.log.getLogger('health').warn('endpoint ejected', { endpoint: 'a' });
  const [line] = await json.readLines();
  const { part, daemon, message, endpoint } = JSON.parse(line ?? '') as Record<string, string>;
  assert.deepEqual([part, daemon, message, endpoint], ['health', 'one', 'endpoint ejected', 'a']);
  const text = captureLog({ format: 'text' });
  text.log.getLogger('health').warn('endpoint ejected', { endpoint: 'a' });
  assert.match((await text.readLines())[0] ?? '', / warn health: endpoint ejected endpoint="a"$/);
});

test('lines below the configured level are not written', async () => {
  const { log, readLines } = captureLog({ level: 'warn' });
  log.getLogger('store').info('store read');
  assert.deepEqual(await readLines(), []);
});

test('metrics are sent to the StatsD server with name prefix and tags', async () => {
  const server = dgram.createSocket('udp4');
  server.bind(0, '127.0.0.1');
  await once(server, 'listening');
  const metrics = observability.createMetrics({
    host: '127.0.0.1',
    port: server.address().port,
    tags: { daemon: 'one' },
  });
  const received = once(server, 'message') as Promise<[Buffer]>;
  metrics.count('requests', 2, { route: 'prices' });
  const [message] = await received;
  metrics.close();
  server.close();
  assert.match(message.toString(), /^dogwoodstall\.requests:2\|c\|#.*route:prices/);
});
