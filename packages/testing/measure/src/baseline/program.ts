/**
 * Baseline daemon: the product's entry server and backend client without membership, peers, queue and
 * dispatcher, so that it selects endpoints independently. It is started like the product, by
 * `daemon --settings FILE`. Its administration port accepts the control calls `POST /policy`,
 * `POST /change` and `GET /ejections`.
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
import {
  BaselineEndpointSelector,
  type EndpointCounts,
  type SelectionPolicy,
  selectionPolicies,
} from './endpoint-selector.js';

const FIRST_CHANGE_KEY = 'dogwoodstall/changes/000000000001';
const INCARNATION = '1';
const KEY_BYTES = 32;
const READ_INTERVAL_MILLISECONDS = 100;

interface StoreRange {
  readonly kvs?: readonly { readonly value: string }[];
}

async function readConfiguration(storeAddress: string): Promise<model.Configuration> {
  const key = Buffer.from(FIRST_CHANGE_KEY).toString('base64');
  for (;;) {
    const response = await undici.request(`http://${storeAddress}/v3/kv/range`, {
      method: 'POST',
      body: JSON.stringify({ key }),
    });
    const range = (await response.body.json()) as StoreRange;
    const value = range.kvs?.[0]?.value;
    if (value !== undefined) {
      const text = Buffer.from(value, 'base64').toString('utf8');
      return model.Configuration.empty().apply(model.changeSchema.parse(JSON.parse(text)));
    }
    await sleep(READ_INTERVAL_MILLISECONDS);
  }
}

class BaselineDaemon {
  private readonly selectors = new Map<string, BaselineEndpointSelector>();

  private policy: SelectionPolicy = 'random';

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
      'GET /ejections': () => this.listEjections(),
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

  // Drops all counts and ejections, so that no phase of a measurement affects the next one.
  private setPolicy(body: unknown): void {
    const { policy } = body as { policy: unknown };
    const known = selectionPolicies.find((name) => name === policy);
    if (known === undefined) {
      throw new results.FailureError('SettingsInvalid', `no policy "${String(policy)}"`);
    }
    this.policy = known;
    this.selectors.clear();
  }

  private applyChange(body: unknown): void {
    this.configuration = this.configuration.apply(model.changeSchema.parse(body));
  }

  private listEjections(): EndpointCounts[] {
    return [...this.selectors.values()].flatMap((selector) => selector.listEjections());
  }

  private findSelector(service: string): BaselineEndpointSelector {
    let selector = this.selectors.get(service);
    if (selector === undefined) {
      selector = new BaselineEndpointSelector({
        servers: [...this.configuration.getServers(service)],
        policy: this.policy,
        now: () => performance.now(),
        random: Math.random,
      });
      this.selectors.set(service, selector);
    }
    return selector;
  }

  private createEntry(): proxy.EntryServer {
    const { name, zone, limits } = this.options;
    const keyIssuer = new idempotency.KeyIssuer({ fleetKeys: [randomBytes(KEY_BYTES)] });
    const server = new proxy.ExchangeServer({ onDecision: () => undefined });
    const retryBudget = new proxy.RetryBudget();
    const router = new proxy.RequestRouter({
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
          this.findSelector(service).acquire(request.excludedEndpoints),
        backend: this.backend,
        retryBudget,
      }),
    });
    return new proxy.EntryServer({
      server,
      router,
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
  const daemon = new BaselineDaemon(options, configuration);
  await daemon.start();
  process.once('SIGTERM', () => {
    daemon.stop().catch((error: unknown) => process.stderr.write(`${String(error)}\n`));
  });
}

const daemonCommand = commands.command({
  name: 'daemon',
  description: 'Runs the baseline daemon',
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
