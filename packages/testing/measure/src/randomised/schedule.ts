/**
 * Fault schedules: generated from a seed, printed on a violation, and shrunk to the faults that reproduce it.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Kind of target of each fault. */
export const faultTargets = {
  'gray-errors': 'server',
  'gray-slow': 'server',
  'gray-stall': 'server',
  flapping: 'server',
  'backend-crash': 'server',
  'backend-refuse': 'server',
  'backend-cut': 'server',
  'backend-delay': 'server',
  'backend-lose-requests': 'server',
  'backend-lose-answers': 'server',
  drain: 'server',
  'crashing-request': 'caller',
  'daemon-kill': 'daemon',
  'daemon-pause': 'daemon',
  'planned-stop': 'daemon',
  'peer-lose-requests': 'daemon',
  'peer-lose-answers': 'daemon',
  'peer-cut': 'daemon',
  'peer-delay': 'daemon',
  'store-away': 'store',
  'store-silent': 'store',
  'store-slow': 'store',
  'store-lost-answers': 'store',
} as const;

export type FaultKind = keyof typeof faultTargets;

/** One fault; times in milliseconds after the start of the load. */
export interface ScheduledFault {
  readonly at: number;
  readonly fault: FaultKind;
  /** Name of the daemon or backend server; the kind of the target for others. */
  readonly target: string;
  readonly durationMilliseconds: number;
}

export type FaultSchedule = readonly ScheduledFault[];

/** Faults during which configuration changes may not reach a daemon. */
export const isolatingFaults: ReadonlySet<FaultKind> = new Set<FaultKind>([
  'daemon-kill',
  'daemon-pause',
  'planned-stop',
  'peer-lose-requests',
  'peer-lose-answers',
  'peer-cut',
  'peer-delay',
  'store-away',
  'store-silent',
  'store-slow',
  'store-lost-answers',
]);

/** Faults that cause no request failures, so that a graceful shutdown at the same time can be checked. */
export const nonDisruptiveFaults: ReadonlySet<FaultKind> = new Set<FaultKind>([
  'planned-stop',
  'drain',
  'store-away',
  'store-silent',
  'store-slow',
  'store-lost-answers',
]);

const SHORTEST_MILLISECONDS = 1000;
const LONGEST_MILLISECONDS = 3000;
// Time for the graceful shutdown of a daemon and the start of its replacement.
const STOP_MILLISECONDS = 7000;
const DRAIN_MILLISECONDS = 3500;
const PAUSE_BETWEEN_MILLISECONDS = 600;
const FIRST_FAULT_MILLISECONDS = 1000;

/** Length of a schedule and its possible targets. */
export interface ScheduleOptions {
  readonly seed: number;
  readonly durationMilliseconds: number;
  readonly daemons: readonly string[];
  readonly servers: readonly string[];
}

type Draw = () => number;

function pick<Item>(items: readonly Item[], draw: Draw): Item {
  return items[Math.floor(draw() * items.length)] as Item;
}

function shuffle<Item>(items: readonly Item[], draw: Draw): Item[] {
  const keyed = items.map((item) => ({ item, key: draw() }));
  return keyed.sort((left, right) => left.key - right.key).map(({ item }) => item);
}

function drawDuration(fault: FaultKind, draw: Draw): number {
  if (fault === 'planned-stop') {
    return STOP_MILLISECONDS;
  }
  if (fault === 'drain') {
    return DRAIN_MILLISECONDS;
  }
  const range = LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS;
  return Math.round(SHORTEST_MILLISECONDS + draw() * range);
}

function drawTarget(
  fault: FaultKind,
  taken: readonly string[],
  options: ScheduleOptions,
  draw: Draw,
): string {
  const kind = faultTargets[fault];
  if (kind === 'daemon') {
    return pick(
      options.daemons.filter((name) => !taken.includes(name)),
      draw,
    );
  }
  if (kind === 'server') {
    return pick(
      options.servers.filter((name) => !taken.includes(name)),
      draw,
    );
  }
  return kind;
}

/**
 * Generates a schedule: first a graceful shutdown and a drain without other faults, as their checks
 * require, then every kind in random order, in rounds of one or two concurrent faults.
 */
export function drawSchedule(options: ScheduleOptions): FaultSchedule {
  const random = xoroshiro128plus(options.seed);
  const draw: Draw = () => uniformFloat64(random);
  const kinds = Object.keys(faultTargets) as FaultKind[];
  let order: FaultKind[] = [];
  const next = (): FaultKind => {
    if (order.length === 0) {
      order = shuffle(kinds, draw);
    }
    return order.pop() as FaultKind;
  };
  const schedule: ScheduledFault[] = [];
  const firstRounds: FaultKind[][] = shuffle([['planned-stop'], ['drain']], draw);
  let at = FIRST_FAULT_MILLISECONDS;
  for (let round = 0; ; round += 1) {
    const chosen = firstRounds.shift() ?? (round % 3 === 0 ? [next()] : [next(), next()]);
    const faults: ScheduledFault[] = [];
    for (const fault of chosen) {
      const taken = faults.map(({ target }) => target);
      const target = drawTarget(fault, taken, options, draw);
      const durationMilliseconds = drawDuration(fault, draw);
      faults.push({ at: Math.round(at), fault, target, durationMilliseconds });
    }
    const longest = Math.max(...faults.map(({ durationMilliseconds }) => durationMilliseconds));
    if (at + longest > options.durationMilliseconds && round >= 2) {
      return schedule;
    }
    schedule.push(...faults);
    at += longest + PAUSE_BETWEEN_MILLISECONDS;
  }
}

/**
 * Searches for a shorter schedule that still fails by removing chunks of faults: first half of them, then
 * ever smaller chunks down to single faults. Calls `fails` at most `maximumReruns` times.
 */
export async function shrinkSchedule(
  schedule: FaultSchedule,
  fails: (candidate: FaultSchedule) => Promise<boolean>,
  maximumReruns: number,
): Promise<FaultSchedule> {
  let shortest = schedule;
  let reruns = 0;
  let size = Math.ceil(schedule.length / 2);
  while (size >= 1 && reruns < maximumReruns && shortest.length > 1) {
    let shrunk = false;
    for (let start = 0; start < shortest.length && reruns < maximumReruns; start += size) {
      const candidate = [...shortest.slice(0, start), ...shortest.slice(start + size)];
      reruns += 1;
      if (await fails(candidate)) {
        shortest = candidate;
        shrunk = true;
        break;
      }
    }
    if (!shrunk) {
      size = size === 1 ? 0 : Math.ceil(size / 2);
    }
    size = Math.min(size, Math.ceil(shortest.length / 2));
  }
  return shortest;
}
