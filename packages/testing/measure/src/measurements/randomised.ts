/**
 * Injects all faults of the failure model at random, singly and in pairs, and checks the seven
 * invariants from outside the fleet.
 */
import * as load from '@dogwoodstall/load';
import { findBrokenVariant, type BrokenVariant } from '../broken/variants.js';
import type { Figures, Measurement, MeasurementContext } from '../measurement.js';
import { invariantNames, type InvariantBook } from '../randomised/invariant-book.js';
import {
  runRandomised,
  type RandomisedOptions,
  type RandomisedResult,
} from '../randomised/randomised-run.js';
import { shrinkSchedule, type FaultSchedule } from '../randomised/schedule.js';

const MAXIMUM_RERUNS = 8;
const VARIANT_MILLISECONDS = 6500;

function hasFailed(book: InvariantBook): boolean {
  return book.violations.length > 0 || book.listUnobserved().length > 0;
}

function createFigures(result: RandomisedResult): Figures {
  const { book, schedule } = result;
  const figures: Record<string, number> = {
    requests: result.load.summary.total.requests,
    keys: result.load.keys.length,
    faults: schedule.length,
    acceptedChanges: result.acceptedChanges,
    conflictingChanges: result.conflicts,
  };
  for (const name of invariantNames) {
    const words = name.replace(/-(\w)/g, (_match, letter: string) => letter.toUpperCase());
    figures[`${words}Checks`] = book.countChecks(name);
    figures[`${words}Violations`] = book.countViolations(name);
  }
  return figures;
}

function formatSchedule(schedule: FaultSchedule): string {
  return schedule.map((fault) => JSON.stringify(fault)).join('\n');
}

async function shrink(
  context: MeasurementContext,
  options: RandomisedOptions,
  result: RandomisedResult,
): Promise<void> {
  const violated = new Set(result.book.violations.map(({ invariant }) => invariant));
  const shortest = await shrinkSchedule(
    result.schedule,
    async (schedule) => {
      const rerun = await runRandomised({ ...options, schedule });
      const fails = rerun.book.violations.some(({ invariant }) => violated.has(invariant));
      context.print(`${schedule.length} faults: ${fails ? 'violated' : 'held'}`);
      return fails;
    },
    MAXIMUM_RERUNS,
  );
  context.print(`shortest schedule that was found to fail:\n${formatSchedule(shortest)}`);
}

/** Returns options of a short run with the faults that expose a broken variant. */
export function createVariantOptions(
  variant: BrokenVariant,
  seed: number,
  durationMilliseconds: number,
): RandomisedOptions {
  return {
    seed,
    durationMilliseconds: Math.min(durationMilliseconds, VARIANT_MILLISECONDS),
    schedule: variant.schedule,
    daemonCommand: variant.daemonCommand,
    settleMilliseconds: 0,
  };
}

function evaluateVariant(context: MeasurementContext, book: InvariantBook): void {
  const variant = findBrokenVariant(context.broken ?? '');
  const violations = book.violations.filter(({ invariant }) => invariant === variant.invariant);
  const caught = violations.length > 0;
  context.print(`variant ${variant.name}: ${caught ? 'caught' : 'not caught'}`);
  if (!caught) {
    context.fail(`the broken variant ${variant.name} was not caught`);
  }
}

async function run(context: MeasurementContext): Promise<Figures> {
  const { seed, durationMilliseconds, broken } = context;
  const variant = broken === undefined ? undefined : findBrokenVariant(broken);
  const options: RandomisedOptions =
    variant === undefined
      ? { seed, durationMilliseconds }
      : createVariantOptions(variant, seed, durationMilliseconds);
  const result = await runRandomised(options);
  const { book } = result;
  context.print(load.formatTextReport('randomised', result.load));
  context.print(book.format());
  if (variant !== undefined) {
    evaluateVariant(context, book);
    return createFigures(result);
  }
  if (hasFailed(book)) {
    context.print(formatSchedule(result.schedule));
    const seconds = durationMilliseconds / 1000;
    const command = `npm run --silent measure -- randomised --seed ${seed} --duration ${seconds}`;
    const unobserved = book.listUnobserved().join(', ');
    const reason = unobserved === '' ? '' : `; not observed: ${unobserved}`;
    context.fail(`seed ${seed} failed${reason}; run it again with: ${command}`);
    if (context.shrink) {
      await shrink(context, options, result);
    }
  }
  return createFigures(result);
}

export const measurement: Measurement = {
  name: 'randomised',
  summary: 'every fault of the failure model at random, with the checks of all invariants',
  defaultSeconds: 45,
  run,
};
