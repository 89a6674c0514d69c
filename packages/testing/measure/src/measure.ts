/**
 * `npm run measure -- NAME --seed N`: runs one measurement; the last line is a JSON object.
 */
import * as commands from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import { loadMeasurements } from './measurement.js';

const DEFAULT_DURATION_SECONDS = 30;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runNamed(name: string, seed: number, durationSeconds: number): Promise<void> {
  const measurements = await loadMeasurements();
  if (name === 'list') {
    measurements.forEach((listed) => print(`${listed.name}: ${listed.summary}`));
    return;
  }
  const chosen = measurements.find((measurement) => measurement.name === name);
  if (chosen === undefined) {
    throw new results.FailureError('MeasurementUnknown', `no measurement "${name}"; try "list"`);
  }
  print(`measurement ${name}, seed ${seed}, ${durationSeconds} s`);
  const durationMilliseconds = durationSeconds * 1000;
  const figures = await chosen.run({ seed, durationMilliseconds, print });
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
      type: commands.number,
      defaultValue: () => DEFAULT_DURATION_SECONDS,
    }),
  },
  handler: async ({ name, seed, duration }) => runNamed(name, seed, duration),
});

try {
  await commands.run(command, process.argv.slice(2));
} catch (error) {
  const failure = results.toFailure(error);
  process.stderr.write(`${results.findResult(failure.kind).number} ${failure.message}\n`);
  process.exitCode = 1;
}
