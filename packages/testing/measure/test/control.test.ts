import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { fitLine } from '../src/control/least-squares.js';
import { RevisionLog } from '../src/control/revision-log.js';
import type { DaemonProcess } from '../src/fleet/daemon-process.js';

function formatLine(at: number, revision: number): string {
  const time = new Date(at).toISOString();
  return `${time} info configuration: configuration revision is in force daemon="a" revision=${revision}`;
}

test('fits a line through points, with slope 0 when all have the same x', () => {
  const points = [10, 20, 40].map((x) => ({ x, y: 3 + 2 * x }));
  const line = fitLine(points);
  assert.ok(Math.abs(line.slope - 2) < 1e-9 && Math.abs(line.intercept - 3) < 1e-9);
  assert.deepEqual(fitLine([{ x: 10, y: 4 }]), { intercept: 4, slope: 0 });
});

test('detects in the log a daemon that lacks a revision or restarts with a lower one', async () => {
  const daemon = { name: 'a', zone: 'z', processId: 1, output: '' };
  const log = new RevisionLog([daemon as unknown as DaemonProcess]);
  const acceptedAt = Date.now() + 1;
  daemon.output = [formatLine(acceptedAt, 4), formatLine(acceptedAt + 70, 6)].join('\n');
  while (log.getLowestRevision() < 6 || Date.now() <= acceptedAt) {
    await new Promise(setImmediate);
  }
  assert.deepEqual(log.findPropagation(5, acceptedAt).byZone.get('z'), [70]);
  assert.deepEqual(log.findPropagation(7, acceptedAt).missing, ['a']);
  assert.equal(log.countReversions(), 0);
  daemon.processId = 2;
  daemon.output = formatLine(acceptedAt + 200, 3);
  await log.stop();
  assert.equal(log.countReversions(), 1);
  assert.equal(log.getLowestRevision(), 3);
});
