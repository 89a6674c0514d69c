/**
 * Runs a healthy cell in virtual time and counts ejections, all of which are false. This is run by
 * hand, because an hour of 25 endpoints at 70% load takes several minutes:
 * `node packages/routing/dispatch/dist/test/hour.js --seeds 3 --minutes 60`.
 */
import { parseArgs } from 'node:util';
import { VirtualCell } from './virtual-cell.js';

const ENDPOINTS = 25;
const SLOTS = 2;
const LOAD = 0.7;
const SHORT_MILLISECONDS = 20;
const EXPENSIVE_MILLISECONDS = 60;
const EXPENSIVE_SHARE = 0.2;
const LONG_MILLISECONDS = 1000;
const LONG_SHARE = 0.005;
const ORGANISATIONS = 20;
const MINUTE_MILLISECONDS = 60_000;

const MEAN_MILLISECONDS =
  LONG_SHARE * LONG_MILLISECONDS +
  (1 - LONG_SHARE) *
    (EXPENSIVE_SHARE * EXPENSIVE_MILLISECONDS + (1 - EXPENSIVE_SHARE) * SHORT_MILLISECONDS);
const RATE_PER_SECOND = (ENDPOINTS * SLOTS * LOAD * 1000) / MEAN_MILLISECONDS;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '60' },
  },
});
const minutes = Number(values.minutes);
const firstSeed = Number(values.seed);

for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
  const cell = new VirtualCell({
    seed,
    endpoints: ENDPOINTS,
    slots: SLOTS,
    drawServiceTime: (drawn, { sizeClass, routeName }) => {
      if (sizeClass === 'long') {
        return LONG_MILLISECONDS;
      }
      return drawn.exponential(
        routeName === 'expensive' ? EXPENSIVE_MILLISECONDS : SHORT_MILLISECONDS,
      );
    },
  });
  cell.generateLoad(
    () => RATE_PER_SECOND,
    minutes * MINUTE_MILLISECONDS,
    () => {
      const long = cell.random() < LONG_SHARE;
      return {
        routeName: cell.random() < EXPENSIVE_SHARE ? 'expensive' : 'route',
        organisation: `organisation-${Math.floor(cell.random() * ORGANISATIONS)}`,
        sizeClass: long ? 'long' : 'short',
        deadlineAt: cell.events.time + (long ? 10_000 : 2000),
      };
    },
  );
  for (let minute = 1; minute <= minutes; minute += 1) {
    await cell.events.runUntil(minute * MINUTE_MILLISECONDS);
    cell.statistics.shortWaits.length = 0;
  }
  const falseEjections = cell.changes.filter(({ kind }) => kind === 'ejected').length;
  const endpointHours = (minutes / 60) * ENDPOINTS;
  const summary = {
    seed,
    minutes,
    endpointHours,
    offered: cell.statistics.offered,
    falseEjections,
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  for (const change of cell.changes) {
    process.stdout.write(`${JSON.stringify(change)}\n`);
  }
}
