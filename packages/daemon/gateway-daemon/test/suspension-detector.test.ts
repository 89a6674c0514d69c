import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Suspension, SuspensionDetector } from '../src/suspension-detector.js';

interface Clocks {
  steady: number;
  wall: number;
}

function createDetector(): {
  readonly clocks: Clocks;
  readonly suspensions: Suspension[];
  readonly detector: SuspensionDetector;
} {
  const clocks = { steady: 1000, wall: 1_700_000_000_000 };
  const suspensions: Suspension[] = [];
  const detector = new SuspensionDetector({
    now: () => clocks.steady,
    wallClock: () => clocks.wall,
    onResume: (suspension) => suspensions.push(suspension),
  });
  return { clocks, suspensions, detector };
}

test('a process stopped by a signal is detected once, by the first check', () => {
  const { clocks, suspensions, detector } = createDetector();
  clocks.steady += 5000;
  clocks.wall += 5000;
  detector.check();
  detector.check();
  assert.deepEqual(suspensions, [{ steadyMilliseconds: 5000, wallMilliseconds: 5000 }]);
  assert.equal(detector.resumedAt, 6000);
});

test('a suspended VM is detected although its steady clock stood still', () => {
  const { clocks, suspensions, detector } = createDetector();
  clocks.steady += 10;
  clocks.wall += 5000;
  detector.check();
  assert.equal(suspensions.length, 1);
});

test('checks at short intervals and a wall clock that is set back detect nothing', () => {
  const { clocks, suspensions, detector } = createDetector();
  for (let count = 0; count < 50; count += 1) {
    clocks.steady += 300;
    clocks.wall += 300;
    detector.check();
  }
  clocks.wall -= 60_000;
  detector.check();
  assert.deepEqual(suspensions, []);
  assert.equal(detector.resumedAt, -Infinity);
});
