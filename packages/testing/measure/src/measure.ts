/**
 * `npm run measure -- NAME --seed N`: runs one measurement and prints its figures as JSON in the last
 * line.
 */
import * as commands from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import { loadMeasurements } from './measurement.js';

const DEFAULT_DURATION_SECONDS = 30;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function fail(reason: string): void {
  process.stderr.write(`${reason}\n`);
  process.exitCode = 1;
}

interface RunOptions {
  readonly name: string;
  readonly seed: number;
  readonly duration: number | undefined;
  readonly broken: string | undefined;
  readonly shrink: boolean;
}

async function runNamed(options: RunOptions): Promise<void> {
  const { name, seed, duration, broken, shrink } = options;
  const measurements = await loadMeasurements();
  if (name === 'list') {
    measurements.forEach((measurement) => print(`${measurement.name}: ${measurement.summary}`));
    return;
  }
  const selected = measurements.find((measurement) => measurement.name === name);
  if (selected === undefined) {
    throw new results.FailureError('MeasurementUnknown', `no measurement "${name}"; try "list"`);
  }
  const durationSeconds = duration ?? selected.defaultSeconds ?? DEFAULT_DURATION_SECONDS;
  print(`measurement ${name}, seed ${seed}, ${durationSeconds} s`);
  const durationMilliseconds = durationSeconds * 1000;
  const figures = await selected.run({
    seed,
    durationMilliseconds,
    print,
    fail,
    broken,
    shrink,
  });
  print(JSON.stringify({ name, seed, figures }));
}

const command = commands.command({
  name: 'measure',
  description: 'Runs one measurement on a local fleet',
  args: {
    name: commands.positional({ type: commands.string, displayName: 'NAME or list' }),
    seed: commands.option({ long: 'seed', type: commands.number, defaultValue: () => 1 }),
    duration: commands.option({
      long: 'duration',
      description: 'seconds',
      type: commands.optional(commands.number),
    }),
    broken: commands.option({
      long: 'break',
      description: 'broken variant that the run must catch',
      type: commands.optional(commands.string),
    }),
    shrink: commands.flag({
      long: 'shrink',
      description: 'look for a shorter fault schedule after a violation',
    }),
  },
  handler: runNamed,
});

try {
  await commands.run(command, process.argv.slice(2));
} catch (error) {
  const failure = results.toFailure(error);
  process.stderr.write(`${results.findResult(failure.kind).number} ${failure.message}\n`);
  process.exitCode = 1;
}
