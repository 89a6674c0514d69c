/**
 * `npm start`: a local fleet that runs until SIGINT or SIGTERM; `--check` sends a handful of requests
 * and ends.
 */
import * as commands from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import { checkFleet } from './check.js';
import { readExampleFiles } from './example.js';
import { callerTokenOf } from './fleet/first-change.js';
import { LocalFleet, OPERATOR_TOKEN } from './fleet/local-fleet.js';
import { createExampleTopology, type Topology } from './fleet/topology.js';

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function chooseTopology(example: string | undefined): Promise<Topology> {
  if (example === undefined) {
    return createExampleTopology();
  }
  const files = await readExampleFiles(example);
  throw new results.FailureError(
    'QuestionnaireInvalid',
    `the answers of example "${example}" (${[...files.keys()].join(', ')}) can not be converted yet`,
  );
}

function printAddresses(fleet: LocalFleet): void {
  print(`callers: http://${fleet.callerAddress}`);
  for (const daemon of fleet.daemons) {
    print(`administration API of ${daemon.name}: http://${daemon.administrationAddress}`);
  }
  print(`operator token: ${OPERATOR_TOKEN}`);
  for (const service of fleet.topology.services) {
    const hosts = new Set(service.routes.map((route) => route.host));
    const token = callerTokenOf(service.organisation);
    print(`service ${service.name}: Host ${[...hosts].join(', ')}, organisation token ${token}`);
  }
}

async function start(options: {
  check: boolean;
  example: string | undefined;
  seed: number;
}): Promise<void> {
  const topology = await chooseTopology(options.example);
  const fleet = await LocalFleet.start({ topology, seed: options.seed });
  try {
    printAddresses(fleet);
    if (!options.check) {
      // A signal ends this process together with every process of the fleet.
      await fleet.store.process.ended;
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
