/**
 * A daemon that decides alone: the product's own entry and backend client without membership, peers,
 * queue and dispatcher. It is started like the product, `daemon --settings FILE`. Its administration
 * port takes the control calls `POST /policy`, `POST /change` and `GET /ejections`.
 */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import * as commands from 'cmd-ts';
import * as idempotency from '@dogwoodstall/idempotency';
import * as model from '@dogwoodstall/model';
import * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import * as settings from '@dogwoodstall/settings';
import * as standIns from '@dogwoodstall/stand-ins';
import * as undici from 'undici';
import { AloneChooser, type EndpointCounts, type PolicyName, policyNames } from './policy.js';

const FIRST_CHANGE_KEY = 'dogwoodstall/changes/000000000001';
const INCARNATION = '1';
const KEY_BYTES = 32;
const READ_PAUSE_MILLISECONDS = 100;

interface StoreRange {
  readonly kvs?: readonly { readonly value: string }[];
}

async function readConfiguration(storeAddress: string): Promise<model.Configuration> {
  const key = Buffer.from(FIRST_CHANGE_KEY).toString('base64');
  for (;;) {
    const answer = await undici.request(`http://${storeAddress}/v3/kv/range`, {
      method: 'POST',
      body: JSON.stringify({ key }),
    });
    const range = (await answer.body.json()) as StoreRange;
    const value = range.kvs?.[0]?.value;
    if (value !== undefined) {
      const text = Buffer.from(value, 'base64').toString('utf8');
      return model.Configuration.empty().apply(model.changeSchema.parse(JSON.parse(text)));
    }
    await sleep(READ_PAUSE_MILLISECONDS);
  }
}

class AloneDaemon {
  private readonly choosers = new Map<string, AloneChooser>();

  private policy: PolicyName = 'random';

  private readonly backend = new proxy.BackendClient();

  private readonly control: standIns.ControlServer;

  private readonly entry: proxy.EntryServer;

  constructor(
    private readonly options: settings.Settings,
    private configuration: model.Configuration,
  ) {
    this.control = new standIns.ControlServer({
      'POST /policy': (body) => this.setPolicy(body),
      'POST /change': (body) => this.applyChange(body),
      'GET /ejections': () => this.describe(),
    });
    this.entry = this.createEntry();
  }

  async start(): Promise<void> {
    const { host, port } = standIns.parseAddress(this.options.listen.caller);
    await this.control.start(this.options.listen.administration);
    await this.entry.listen(host, port);
  }

  async stop(): Promise<void> {
    this.entry.close();
    await this.backend.close();
    await this.control.stop();
  }

  // Every phase of a measurement starts without counts and ejections of the one before.
  private setPolicy(body: unknown): void {
    const { policy } = body as { policy: unknown };
    const known = policyNames.find((name) => name === policy);
    if (known === undefined) {
      throw new results.FailureError('SettingsInvalid', `no policy "${String(policy)}"`);
    }
    this.policy = known;
    this.choosers.clear();
  }

  private applyChange(body: unknown): void {
    this.configuration = this.configuration.apply(model.changeSchema.parse(body));
  }

  private describe(): EndpointCounts[] {
    return [...this.choosers.values()].flatMap((chooser) => chooser.describe());
  }

  private findChooser(service: string): AloneChooser {
    let chooser = this.choosers.get(service);
    if (chooser === undefined) {
      chooser = new AloneChooser({
        servers: [...this.configuration.getServers(service)],
        policy: this.policy,
        now: () => performance.now(),
        random: Math.random,
      });
      this.choosers.set(service, chooser);
    }
    return chooser;
  }

  private createEntry(): proxy.EntryServer {
    const { name, zone, limits } = this.options;
    const keyIssuer = new idempotency.KeyIssuer({ fleetKeys: [randomBytes(KEY_BYTES)] });
    const server = new proxy.ExchangeServer({ onDecision: () => undefined });
    const retryBudget = new proxy.RetryBudget();
    const path = new proxy.RequestRouter({
      daemonName: name,
      planDispatch: (service) => [{ kind: 'local', cell: service }],
      isReachable: () => false,
      locateKeyHome: () => ({ kind: 'local' }),
      keyIssuer,
      keyHome: new idempotency.KeyHome({ incarnation: INCARNATION }),
      retryBudget,
      forwarder: new proxy.PeerForwarder(new proxy.LinkMonitor({ onStalled: () => undefined })),
      runner: new proxy.DispatchRunner({
        acquire: async (service, request) =>
          this.findChooser(service).acquire(request.excludedEndpoints),
        backend: this.backend,
        retryBudget,
      }),
    });
    return new proxy.EntryServer({
      server,
      router: path,
      limits,
      isReady: () => true,
      findConfiguration: () => this.configuration,
      keyIssuer,
      chooseKeyHome: () => ({ home: name, incarnation: INCARNATION }),
      zone,
      balancerMilliseconds: 0,
    });
  }
}

async function runDaemon(settingsFile: string): Promise<void> {
  const options = await settings.loadSettings(settingsFile);
  const configuration = await readConfiguration(options.store.addresses[0] ?? '');
  const daemon = new AloneDaemon(options, configuration);
  await daemon.start();
  process.once('SIGTERM', () => {
    daemon.stop().catch((error: unknown) => process.stderr.write(`${String(error)}\n`));
  });
}

const daemonCommand = commands.command({
  name: 'daemon',
  description: 'Daemon that decides alone',
  args: { settings: commands.option({ long: 'settings', type: commands.string }) },
  handler: ({ settings: settingsFile }) => runDaemon(settingsFile),
});

try {
  const program = commands.subcommands({ name: 'baseline', cmds: { daemon: daemonCommand } });
  await commands.run(program, process.argv.slice(2));
} catch (error) {
  process.stderr.write(`${results.toFailure(error).message}\n`);
  process.exitCode = 1;
}
