/**
 * Command-line program with a subcommand for each stand-in. Each subcommand prints one JSON line with
 * its bound addresses once it listens, and exits on SIGTERM, on SIGINT or when its standard input
 * closes.
 */
import * as commands from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import * as zod from 'zod';
import { BackendGroup } from './backend/group.js';
import { LoadBalancerStandIn } from './network/load-balancer.js';
import { FaultProxy } from './network/fault-proxy.js';
import { VmListStandIn } from './network/vm-list.js';
import { StoreStandIn } from './store/store.js';

const EPHEMERAL_ADDRESS = '127.0.0.1:0';

const serverListSchema = zod.array(
  zod.strictObject({
    name: zod.string(),
    slots: zod.number().int().min(1).default(2),
    connectionLimit: zod.number().int().min(1).default(330),
    queueLimit: zod.number().int().min(0).optional(),
    workMilliseconds: zod.number().min(0).optional(),
    variation: zod.number().min(0).max(1).optional(),
    coldStartFactor: zod.number().min(1).optional(),
    coldStartMilliseconds: zod.number().min(0).optional(),
    seed: zod.number().int().optional(),
  }),
);

interface Stoppable {
  stop(): Promise<void>;
}

function runUntilStopped(standIn: Stoppable, addresses: Record<string, unknown>): void {
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  let stopping = false;
  const stop = (): void => {
    if (!stopping) {
      stopping = true;
      standIn.stop().finally(() => process.stdin.destroy());
    }
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  // The parent process keeps standard input open; if the parent is killed, the stand-in exits too.
  process.stdin.once('end', stop);
  process.stdin.once('error', stop);
  process.stdin.resume();
}

function addressOption(long: string, description: string) {
  return commands.option({
    long,
    description,
    type: commands.string,
    defaultValue: () => EPHEMERAL_ADDRESS,
  });
}

const control = addressOption('control', 'control address');
const listen = addressOption('listen', 'address of the service');

function numberOption(long: string, description: string, defaultNumber: number) {
  return commands.option({
    long,
    description,
    type: commands.number,
    defaultValue: () => defaultNumber,
  });
}

const store = commands.command({
  name: 'store',
  description: 'The key-value service of the platform',
  args: { listen, control, seed: numberOption('seed', 'seed for the choice of lost responses', 1) },
  handler: async (options) => {
    const standIn = new StoreStandIn({ seed: options.seed });
    await standIn.start(options.listen, options.control);
    runUntilStopped(standIn, { address: standIn.address, control: standIn.control.address });
  },
});

const machineList = commands.command({
  name: 'machine-list',
  description: 'The list of VMs of the platform',
  args: { listen, control, lag: numberOption('lag', 'lag in milliseconds', 0) },
  handler: async (options) => {
    const standIn = new VmListStandIn(options.lag);
    await standIn.start(options.listen, options.control);
    runUntilStopped(standIn, { address: standIn.address, control: standIn.control.address });
  },
});

const balancer = commands.command({
  name: 'balancer',
  description: 'The load balancer of the platform',
  args: {
    listen,
    control,
    target: commands.multioption({
      long: 'target',
      description: 'address on which a daemon accepts callers',
      type: commands.array(commands.string),
    }),
    poll: numberOption('poll', 'milliseconds between readiness checks', 250),
  },
  handler: async (options) => {
    const standIn = new LoadBalancerStandIn({
      targets: options.target,
      pollMilliseconds: options.poll,
    });
    await standIn.start(options.listen, options.control);
    runUntilStopped(standIn, { address: standIn.address, control: standIn.control.address });
  },
});

const backends = commands.command({
  name: 'backends',
  description: 'Backend servers, all in this process',
  args: {
    control,
    servers: commands.option({
      long: 'servers',
      description: 'JSON list of servers: name, slots, connectionLimit, workMilliseconds, seed',
      type: commands.string,
    }),
  },
  handler: async (options) => {
    const standIn = new BackendGroup(serverListSchema.parse(JSON.parse(options.servers)));
    await standIn.start(options.control);
    runUntilStopped(standIn, { servers: standIn.listServers(), control: standIn.control.address });
  },
});

const proxy = commands.command({
  name: 'proxy',
  description: 'Fault-injecting TCP proxy; links are added over the control address',
  args: { control },
  handler: async (options) => {
    const standIn = new FaultProxy();
    await standIn.start(options.control);
    runUntilStopped(standIn, { control: standIn.control.address });
  },
});

const program = commands.subcommands({
  name: 'stand-ins',
  description: 'Stand-ins for the platform and backend servers',
  cmds: { store, 'machine-list': machineList, balancer, backends, proxy },
});

try {
  await commands.run(program, process.argv.slice(2));
} catch (error) {
  process.stderr.write(`${results.toFailure(error).message}\n`);
  process.exitCode = 1;
}
