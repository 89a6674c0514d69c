/**
 * A request that ends each endpoint that receives it, sent again and again at changing daemons.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { CRASH_PATH } from './crashing-endpoint.js';
import { CrashingService } from './crashing-service.js';
import { Fleet, type FleetDaemon, findDispatcher, sendRequest, waitUntil } from './fleet.js';

const READY_MILLISECONDS = 8000;
const SETTLE_MILLISECONDS = 2500;
const ENDPOINTS = 30;
const SEND_INTERVAL_MILLISECONDS = 150;
/** The platform allows three endpoints more, from this long after the third has ended. */
const STABILITY_MILLISECONDS = 3000;
const ALLOWED_LATER = 3;

/** Long enough for all endpoints to end several times. */
const SILENT_MILLISECONDS = 12_000;

/** Sends requests at the running daemons in turn until it is stopped. */
class Callers {
  private stopped = false;

  private readonly finished: Promise<void>;

  readonly statuses: (number | undefined)[] = [];

  constructor(
    private readonly listDaemons: () => readonly FleetDaemon[],
    private readonly path: string,
  ) {
    this.finished = this.run();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await this.finished;
  }

  private async run(): Promise<void> {
    const sent: Promise<void>[] = [];
    for (let count = 0; !this.stopped; count += 1) {
      const daemons = this.listDaemons();
      const { host } = daemons[count % daemons.length] as FleetDaemon;
      sent.push(
        sendRequest(host, `${this.path}-${count}`, this.path).then((response) => {
          this.statuses.push(response?.status);
        }),
      );
      await delay(SEND_INTERVAL_MILLISECONDS);
    }
    await Promise.all(sent);
  }
}

async function withService(
  size: number,
  check: (fleet: Fleet, running: FleetDaemon[], service: CrashingService) => Promise<void>,
  service = new CrashingService(),
): Promise<void> {
  const fleet = new Fleet();
  fleet.store.configure(1, 'valuation');
  try {
    await service.start(fleet.store, ENDPOINTS);
    const running: FleetDaemon[] = [];
    for (let count = 0; count < size; count += 1) {
      running.push(await fleet.start());
    }
    await waitUntil(
      'all daemons are ready',
      () => running.every(({ daemon }) => daemon.isReady),
      READY_MILLISECONDS,
    );
    await delay(SETTLE_MILLISECONDS);
    await check(fleet, running, service);
  } finally {
    fleet.close();
    service.close();
  }
}

/** Asserts that at most three endpoints were reached later than the stability time after the third. */
function assertHeldBack({ arrivals }: CrashingService): void {
  const third = arrivals[2]?.at ?? Infinity;
  const later = arrivals.filter(({ at }) => at > third + STABILITY_MILLISECONDS);
  assert.ok(
    later.length <= ALLOWED_LATER,
    `${arrivals.length} endpoints ended, ${later.length} of them later than 3 s after the third`,
  );
}

test('a request that ended three endpoints is held back although its dispatchers are killed one after the other', async (context) => {
  await withService(5, async (fleet, running, service) => {
    const ordinary = new Callers(() => running, '/1');
    const crashing = new Callers(() => running, CRASH_PATH);
    await waitUntil('three endpoints have ended', () => service.arrivals.length >= 3, 5000);
    for (let round = 0; round < 4; round += 1) {
      const dispatcher = await findDispatcher(running);
      running.splice(running.indexOf(dispatcher), 1);
      dispatcher.daemon.close();
      const started = await fleet.start();
      await delay(SETTLE_MILLISECONDS);
      running.push(started);
    }
    await crashing.stop();
    await ordinary.stop();
    context.diagnostic(`${service.arrivals.length} endpoints ended`);
    assertHeldBack(service);
    const served = ordinary.statuses.filter((status) => status === 200);
    assert.ok(served.length > ordinary.statuses.length * 0.9, 'other requests are served');
  });
});

// Guards against records that live in the memory of the daemons only.
test('a request that ended three endpoints is held back although all daemons are killed at the same moment', async (context) => {
  await withService(5, async (fleet, running, service) => {
    const ordinary = new Callers(() => running, '/1');
    const crashing = new Callers(() => running, CRASH_PATH);
    await waitUntil('three endpoints have ended', () => service.arrivals.length >= 3, 5000);
    for (let round = 0; round < 3; round += 1) {
      await delay(SETTLE_MILLISECONDS);
      const killed = running.splice(0);
      killed.forEach(({ daemon }) => daemon.close());
      for (const { host } of killed) {
        running.push(await fleet.restart(host));
      }
      await delay(STABILITY_MILLISECONDS);
    }
    await crashing.stop();
    await ordinary.stop();
    context.diagnostic(`${service.arrivals.length} endpoints ended`);
    assertHeldBack(service);
  });
});

// Guards against crashes that are counted only if they close a connection.
test('a request that ended three endpoints is held back although they fall silent instead of closing connections', async (context) => {
  const check = async (
    _fleet: Fleet,
    running: FleetDaemon[],
    service: CrashingService,
  ): Promise<void> => {
    const ordinary = new Callers(() => running, '/1');
    const crashing = new Callers(() => running, CRASH_PATH);
    await waitUntil('three endpoints have ended', () => service.arrivals.length >= 3, 5000);
    await delay(SILENT_MILLISECONDS);
    await crashing.stop();
    await ordinary.stop();
    context.diagnostic(`${service.arrivals.length} endpoints ended`);
    assertHeldBack(service);
    assert.ok(ordinary.statuses.includes(200), 'other requests are served');
  };
  await withService(5, check, new CrashingService(true));
});
