import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeAnnouncements, encodeAnnouncements } from '../src/announcement-report.js';

test('limits, leaving endpoints and ended limits arrive with the age of their evidence', () => {
  const relayed = [
    { endpoint: 'e1', lifetime: 1, requestsPerSecond: 2.5, leaving: false, age: 40 },
    { endpoint: 'e2', lifetime: 2, requestsPerSecond: null, leaving: false, age: 70 },
  ];
  assert.deepEqual(decodeAnnouncements(encodeAnnouncements(relayed)), relayed);
});

test('an endpoint that leaves and never had a limit does not end the limit that another daemon knows', () => {
  const leaving = { endpoint: 'e1', lifetime: 1, requestsPerSecond: null, leaving: true };
  const report = encodeAnnouncements([{ ...leaving, age: Infinity }]);
  const [decoded] = decodeAnnouncements(report);
  assert.ok(decoded !== undefined && decoded.leaving && decoded.age > 100_000_000);
});

test('reports of older daemons, without ages, are read', () => {
  const decoded = decodeAnnouncements({
    announcements: [
      ['e1', 1, 2.5, false],
      ['e2', 1, null, true],
    ],
  });
  assert.deepEqual(
    decoded.map(({ age }) => age === 0),
    [true, false],
  );
});
