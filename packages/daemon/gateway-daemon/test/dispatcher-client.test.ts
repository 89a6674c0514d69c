import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as datagrams from '@dogwoodstall/datagrams';
import type * as gateway from '@dogwoodstall/gateway';
import { type Announcement, noAnnouncement } from '@dogwoodstall/traffic';
import type { Candidates } from '../src/candidates.js';
import type { CellSelector } from '../src/cell-selector.js';
import { DispatcherClient } from '../src/dispatcher-client.js';

const self = { name: 'daemon-1', host: '127.0.0.1', port: 1, isSelf: true };
const cell = { name: 'valuation', service: 'valuation', zone: undefined, endpoints: [] };
const slotOptions: gateway.SlotAcquireOptions = {
  requestId: 'r1',
  service: 'valuation',
  route: {
    name: 'offers',
    host: 'shop.example',
    prefix: '/',
    idempotent: false,
    destinations: [],
    timeoutMilliseconds: 2000,
    targetMilliseconds: 400,
    maximumAttempts: 2,
    priority: 1,
  },
  organisation: undefined,
  priority: 1,
  deadlineAt: performance.now() + 60_000,
  repeated: false,
  mayProbe: true,
  bodyBytes: 0,
  fingerprint: '1x',
  excluded: [],
  relayed: false,
};

/** A client of a dispatcher that has just taken over and grants the first endpoint that a request does not exclude. */
class UninformedDispatcher {
  readonly reports: datagrams.Report[] = [];

  readonly held: string[] = [];

  readonly asks: datagrams.Ask[] = [];

  lifetime = 1;

  /** Endpoints, with their lifetimes, that the entry knows to be draining. */
  readonly drained = new Set<string>();

  /** Whether the request is known to crash endpoints. */
  isCrashing = false;

  /** Resets and successes that were recorded. */
  readonly crashes: string[] = [];

  /** Attempts that got no response for long. */
  readonly silent: string[] = [];

  readonly client: DispatcherClient;

  constructor(endpoints: readonly string[]) {
    this.client = new DispatcherClient({
      zone: 'a',
      candidates: {
        choose: () => self,
        getSelf: () => self,
        markUnresponsive: () => {},
      } as unknown as Candidates,
      cells: {
        select: (_service: string, tried: ReadonlySet<string>) =>
          tried.size > 0 ? undefined : cell,
        recordLoad: () => {},
      } as unknown as CellSelector,
      crashRecords: {
        shouldRefuse: () => this.isCrashing,
        recordReset: ({ endpoint, lifetime }) => this.crashes.push(`${endpoint} ${lifetime}`),
        recordSuccess: () => this.crashes.push('success'),
      },
      onSilence: ({ endpoint, lifetime }) => this.silent.push(`${endpoint} ${lifetime}`),
      isLeaving: (endpoint, lifetime) => this.drained.has(`${endpoint} ${lifetime}`),
      send: () => {},
      local: {
        ask: (ask, respond) => {
          this.asks.push(ask);
          const { askId, excluded } = ask;
          const endpoint = endpoints.find((id) => !excluded.includes(id));
          respond(
            endpoint === undefined
              ? ['refuse', { askId, reason: 'no-endpoint', retryAfter: 250, load: 0 }]
              : [
                  'grant',
                  {
                    askId,
                    grantId: this.reports.length,
                    endpoint,
                    address: '127.0.0.1:2',
                    hedgeAfter: 100,
                    reuseWithin: 1000,
                    load: 0,
                    lifetime: this.lifetime,
                  },
                ],
          );
        },
        withdraw: () => {},
        report: (report) => this.reports.push(report),
      },
      onResponse: () => {},
      onFailover: () => {},
      onHold: () => {},
      onHeld: (endpoint, { reason }) => this.held.push(`${endpoint} ${reason}`),
    });
  }

  /** Acquires a slot and returns its endpoint, or the reason of the refusal. */
  async use(
    announcement: Announcement | null = null,
    outcome: datagrams.Outcome = 'success',
    elapsed = 20,
    superseded = false,
  ): Promise<string> {
    const decision = await this.client.acquire(slotOptions, new AbortController().signal);
    if (decision.kind === 'refused') {
      return decision.reason;
    }
    decision.slot.report({
      outcome,
      elapsed,
      load: undefined,
      silent: outcome === 'abandoned',
      idleMilliseconds: 0,
      announcement,
      superseded,
    });
    return decision.slot.endpoint;
  }
}

test('a daemon does not use an endpoint that has told it that it leaves, whatever the dispatcher grants', async () => {
  const dispatcher = new UninformedDispatcher(['one', 'other']);
  assert.equal(await dispatcher.use({ ...noAnnouncement, leaving: true }), 'one');
  assert.equal(await dispatcher.use(), 'other');
  assert.deepEqual(dispatcher.held, ['one leaving']);
  const unused = dispatcher.reports.find(({ outcome }) => outcome === 'unused');
  assert.equal(unused?.announcement?.leaving, true, 'the dispatcher is told');
  dispatcher.lifetime = 2;
  assert.equal(await dispatcher.use(), 'one', 'a new process at the id');
});

// Guards against a dispatcher that knows less than the entry, for instance because it could not fetch newer endpoints.
test('a daemon does not use an endpoint that it knows to be draining, and tells the dispatcher', async () => {
  const dispatcher = new UninformedDispatcher(['one', 'other']);
  dispatcher.drained.add('one 1');
  assert.equal(await dispatcher.use(), 'other');
  assert.deepEqual(dispatcher.held, ['one draining']);
  const unused = dispatcher.reports.find(({ outcome }) => outcome === 'unused');
  assert.equal(unused?.announcement?.leaving, true);
  dispatcher.lifetime = 2;
  assert.equal(await dispatcher.use(), 'one', 'a new process at the id');
});

test('a daemon does not use an endpoint during the pause that it asked for', async () => {
  const dispatcher = new UninformedDispatcher(['one', 'other']);
  assert.equal(await dispatcher.use({ ...noAnnouncement, pauseMilliseconds: 200 }), 'one');
  assert.equal(await dispatcher.use(), 'other');
  await new Promise((resolve) => {
    setTimeout(resolve, 250);
  });
  assert.equal(await dispatcher.use(), 'one');
});

test('a request is refused when every endpoint has told the daemon to send none', async () => {
  const dispatcher = new UninformedDispatcher(['one', 'other']);
  for (let count = 0; count < 2; count += 1) {
    await dispatcher.use({ ...noAnnouncement, leaving: true });
  }
  assert.equal(await dispatcher.use(), 'no-endpoint');
});

test('resets are recorded with the process of the endpoint, and a request known to crash endpoints is refused', async () => {
  const dispatcher = new UninformedDispatcher(['one', 'other']);
  assert.equal(await dispatcher.use(null, 'reset'), 'one');
  dispatcher.lifetime = 2;
  assert.equal(await dispatcher.use(null, 'reset'), 'one');
  await dispatcher.use(null, 'error');
  await dispatcher.use();
  assert.deepEqual(dispatcher.crashes, ['one 1', 'one 2', 'success']);
  dispatcher.isCrashing = true;
  const asked = dispatcher.reports.length;
  assert.equal(await dispatcher.use(), 'crashing');
  assert.equal(dispatcher.reports.length, asked, 'no dispatcher was asked');
});

test('an attempt without a response is followed if it took longer than usual and no other one was answered', async () => {
  const dispatcher = new UninformedDispatcher(['one', 'other']);
  await dispatcher.use(null, 'abandoned', 99);
  await dispatcher.use(null, 'abandoned', 101, true);
  assert.deepEqual(dispatcher.silent, []);
  await dispatcher.use(null, 'abandoned', 101);
  assert.deepEqual(dispatcher.silent, ['one 1']);
  assert.deepEqual(dispatcher.crashes, []);
});
