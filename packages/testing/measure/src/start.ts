/**
 * `npm start`: runs a local fleet until SIGINT or SIGTERM; with `--check`, sends a few requests to each
 * route and exits.
 */
import * as commands from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import { checkFleet } from './check.js';
import { formatCurlCommand } from './curl-command.js';
import { readExample } from './example.js';
import { LocalFleet, OPERATOR_TOKEN, type LocalFleetOptions } from './fleet/local-fleet.js';
import { createExampleTopology } from './fleet/topology.js';

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function readStartOptions(
  example: string | undefined,
): Promise<Pick<LocalFleetOptions, 'topology' | 'createFirstChange'>> {
  if (example === undefined) {
    return { topology: createExampleTopology() };
  }
  const { topology, createFirstChange, warnings } = await readExample(example);
  warnings.forEach((warning) => print(`warning: ${warning}`));
  return { topology, createFirstChange };
}

function printAddresses(fleet: LocalFleet): void {
  print(`callers: http://${fleet.callerAddress}`);
  for (const daemon of fleet.daemons) {
    print(`administration API of ${daemon.name}: http://${daemon.administrationAddress}`);
    print(`settings and process id of ${daemon.name}: ${daemon.settingsFile} ${daemon.processId}`);
  }
  print(`operator token: ${OPERATOR_TOKEN}`);
  print(`control address of the store stand-in: http://${fleet.store.control.address}`);
  for (const service of fleet.topology.services) {
    print(`service ${service.name}, requests for each of its routes:`);
    for (const route of service.routes) {
      print(`  ${formatCurlCommand(fleet.callerAddress, service, route)}`);
    }
  }
}

async function start(options: {
  check: boolean;
  example: string | undefined;
  seed: number;
}): Promise<void> {
  const startOptions = await readStartOptions(options.example);
  const fleet = await LocalFleet.start({ ...startOptions, seed: options.seed });
  try {
    printAddresses(fleet);
    if (!options.check) {
      // Runs until a signal stops this process and every process of the fleet.
      await fleet.store.process.exited;
      return;
    }
    const { passed, report } = await checkFleet(fleet, options.seed);
    print(report);
    print(passed ? 'the check passed' : 'the check failed');
    process.exitCode = passed ? 0 : 1;
  } finally {
    await fleet.stop();
  }
}

const command = commands.command({
  name: 'start',
  description: 'Starts a local fleet',
  args: {
    check: commands.flag({ long: 'check', description: 'send a handful of requests and end' }),
    example: commands.option({
      long: 'example',
      description: 'name of a worked example',
      type: commands.optional(commands.string),
    }),
    seed: commands.option({ long: 'seed', type: commands.number, defaultValue: () => 1 }),
  },
  handler: start,
});

try {
  await commands.run(command, process.argv.slice(2));
} catch (error) {
  const failure = results.toFailure(error);
  process.stderr.write(`${results.findResult(failure.kind).number} ${failure.message}\n`);
  process.exitCode = 1;
}
