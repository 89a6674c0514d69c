/**
 * Return of refused callers, in virtual time.
 *
 * Pattern `crest-return`: many callers come within a moment, most are refused, and each returns once after the delay that
 * it was told. If all are told the same delay, they return as a second crest and are refused again.
 */
import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualService, createEndpoint } from './fixture.js';

const ENDPOINTS = 5;
const SLOTS = 2;
const SERVICE_MILLISECONDS = 100;
const CALLERS = 100;
const STEP_MILLISECONDS = 5;
const WINDOW_MILLISECONDS = 100;
const REMAINING_MILLISECONDS = 4000;

interface Caller {
  readonly priority: number;
  key: string;
  returnAt: number | undefined;
  returned: boolean;
  served: boolean;
}

class Crest {
  readonly callers: Caller[] = [];

  readonly service = new VirtualService(
    Array.from({ length: ENDPOINTS }, (_, index) => createEndpoint(`e${index}`, { slots: SLOTS })),
  );

  private readonly ends: { readonly at: number; readonly caller: Caller }[] = [];

  constructor(private readonly getPriority: (index: number) => number) {
    for (let index = 0; index < 40; index += 1) {
      this.service.run('success', SERVICE_MILLISECONDS);
    }
  }

  run(): void {
    const startedAt = this.service.now;
    for (let index = 0; index < CALLERS; index += 1) {
      const priority = this.getPriority(index);
      const caller = { priority, key: '', returnAt: undefined, returned: false, served: false };
      this.callers.push(caller);
      this.ask(caller, REMAINING_MILLISECONDS);
    }
    while (this.service.now - startedAt < REMAINING_MILLISECONDS) {
      this.service.now += STEP_MILLISECONDS;
      this.step(startedAt);
    }
  }

  private step(startedAt: number): void {
    for (const { at, caller } of this.ends.splice(0)) {
      if (at > this.service.now) {
        this.ends.push({ at, caller });
      } else {
        this.service.run('success', 0, caller.key);
      }
    }
    this.service.dispatcher.tick();
    for (const caller of this.callers) {
      const decision = this.service.decisions.get(caller.key);
      if (decision?.kind === 'grant' && !caller.served) {
        Object.assign(caller, { served: true });
        this.ends.push({ at: this.service.now + SERVICE_MILLISECONDS, caller });
      } else if (decision?.kind === 'refuse' && caller.returnAt === undefined) {
        Object.assign(caller, { returnAt: this.service.now + decision.retryAfter });
      } else if (!caller.returned && caller.returnAt !== undefined) {
        if (caller.returnAt <= this.service.now) {
          Object.assign(caller, { returned: true });
          this.ask(caller, REMAINING_MILLISECONDS - (this.service.now - startedAt));
        }
      }
    }
  }

  private ask(caller: Caller, remaining: number): void {
    const { priority } = caller;
    Object.assign(caller, { key: this.service.ask({ priority, remaining, target: 400 }) });
  }

  countMostReturnsPerWindow(): number {
    const times = this.callers.flatMap(({ returnAt }) =>
      returnAt === undefined ? [] : [returnAt],
    );
    const counts = times.map(
      (from) => times.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length,
    );
    return Math.max(0, ...counts);
  }
}

test('crest-return: refused callers return at the rate at which they can be served', () => {
  const crest = new Crest(() => 1);
  crest.run();
  const refused = crest.callers.filter(({ returnAt }) => returnAt !== undefined);
  assert.ok(refused.length > CALLERS / 2, `${refused.length} refused`);
  // Twice the capacity of the window, because part of the callers are refused one check of the queue later.
  const capacity = (ENDPOINTS * SLOTS * WINDOW_MILLISECONDS) / SERVICE_MILLISECONDS;
  const most = crest.countMostReturnsPerWindow();
  assert.ok(most <= 2 * capacity, `${most} returns in a window for ${capacity} slots`);
  const served = refused.filter((caller) => caller.served);
  assert.ok(served.length >= 0.95 * refused.length, `${served.length} of ${refused.length} served`);
});

test('crest-return: more urgent callers return before less urgent ones that were refused earlier', () => {
  const service = new VirtualService([createEndpoint('one', { slots: 1 })]);
  const refuse = (priority: number): number => {
    const decision = service.decisions.get(service.ask({ priority, remaining: 30_000 }));
    assert.ok(decision?.kind === 'refuse');
    return decision.retryAfter;
  };
  for (let count = 0; count < 4; count += 1) {
    service.ask({ priority: 0 });
  }
  const lessUrgent = [refuse(2), refuse(2), refuse(2)];
  const urgent = refuse(0);
  const later = refuse(2);
  assert.ok(urgent < Math.max(...lessUrgent), `${urgent} < ${Math.max(...lessUrgent)}`);
  assert.ok(later > Math.max(urgent, ...lessUrgent), 'the less urgent one returns last');
});
