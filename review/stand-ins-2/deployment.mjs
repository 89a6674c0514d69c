/**
 * A small deployment: the project's program as one process a machine, started with the command of the deploy file and the
 * settings of its template, a store, and what a test adds to them. All addresses are loopback addresses.
 */
import { spawn } from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Gate, Store } from './store.mjs';
import { fillTemplate } from './template.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const RESTART_MILLISECONDS = 300;
const DEFAULT_BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  stability_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_skew_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 58,
  recovery_s: 15,
  probes_per_s: 3,
  floor_share: 0.7,
};

/** A case that could not run. */
export class CannotRun extends Error {}

function readDeployFile() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const find = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1];
  return { run: find('run'), template: find('template') };
}

function isReady(address) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const request = http.get(
      { host, port: Number(port), path: '/-/readiness', agent: false, timeout: 900 },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

class Daemon {
  process = undefined;

  exits = [];

  log = [];

  isWanted = false;

  constructor(deployment, index, zone) {
    this.deployment = deployment;
    this.index = index;
    this.zone = zone;
    this.name = `front-${zone}-${index}`;
    this.ip = `${deployment.network}.${index}`;
    this.address = `${this.ip}:${deployment.ports.front}`;
    this.readyAddress = `${this.ip}:${deployment.ports.ready}`;
    this.gate = new Gate(deployment.store.address);
  }

  writeSettings() {
    const { deployment } = this;
    const { ports, bounds } = deployment;
    const fields = {
      node: this.name,
      role: 'gateway',
      machine_class: 'front',
      serves: ['front', 'control'],
      ip: this.ip,
      zone: this.zone,
      region: 'region',
      listen: {
        front: this.address,
        ready: this.readyAddress,
        control: `${this.ip}:${ports.control}`,
      },
      internal_ports: [ports.internal, ports.internal + 15],
      seeds: [1, 2, 3].map((index) => `${deployment.network}.${index}:${ports.control}`),
      bootstrap: true,
      limits: { cpu_share: 0.54, cores: 1, memory_mb: deployment.memoryMegabytes, max_fds: 4100 },
      bounds,
      platform: { address: this.gate.address, form: 'kv' },
    };
    this.settings = path.join(deployment.directory, `${this.name}.conf`);
    fs.writeFileSync(this.settings, fillTemplate(deployment.template, fields));
  }

  async prepare() {
    await this.gate.listen(`${this.deployment.network}.200`);
    this.writeSettings();
  }

  start() {
    this.isWanted = true;
    const [command, ...words] = this.deployment.command;
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, DOGWOODSTALL_SETTINGS: this.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.process = child;
    let rest = '';
    const read = (chunk) => {
      rest += chunk;
      const lines = rest.split('\n');
      rest = lines.pop();
      for (const line of lines) {
        if (this.deployment.onLine(this, line)) {
          this.log.push(line);
        }
      }
    };
    child.stdout.on('data', read);
    child.stderr.on('data', read);
    child.on('exit', (code, signal) => {
      this.exits.push({ at: performance.now(), code, signal });
      if (this.isWanted && !this.deployment.isClosing) {
        setTimeout(
          () => this.isWanted && !this.deployment.isClosing && this.start(),
          RESTART_MILLISECONDS,
        );
      }
    });
  }

  signal(name) {
    this.process.kill(name);
  }

  isReady() {
    return isReady(this.readyAddress);
  }
}

export class Deployment {
  daemons = [];

  isClosing = false;

  store = new Store();

  endpoints = [];

  version = 0;

  onLine = () => false;

  constructor({
    daemons,
    zones = ['zone-a', 'zone-b', 'zone-c'],
    bounds = {},
    memoryMegabytes = 350,
  }) {
    this.count = daemons;
    this.zones = zones;
    this.bounds = { ...DEFAULT_BOUNDS, ...bounds };
    this.memoryMegabytes = memoryMegabytes;
    const draw = () => 16 + crypto.randomInt(200);
    this.network = `127.${draw()}.${draw()}`;
    const base = 10_000 + crypto.randomInt(20_000);
    this.ports = { front: base, ready: base + 1, control: base + 2, internal: base + 10 };
    const { run, template } = readDeployFile();
    this.command = run.split(' ');
    if (!fs.existsSync(path.join(ROOT, 'target/dogwoodstall.mjs'))) {
      throw new CannotRun('the program is not built');
    }
    this.template = fs.readFileSync(path.join(ROOT, template), 'utf8');
    this.directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    process.on('exit', () => this.killAll());
    for (const name of ['SIGINT', 'SIGTERM']) {
      process.on(name, () => process.exit(2));
    }
  }

  get host() {
    return 'shop.example';
  }

  async addEndpoint(endpoint, port) {
    await endpoint.start(this.store, `${this.network}.210`, port);
    this.endpoints.push(endpoint);
    return endpoint;
  }

  async start() {
    await this.store.listen(`${this.network}.201`);
    for (let index = 1; index <= this.count; index += 1) {
      const daemon = new Daemon(this, index, this.zones[(index - 1) % this.zones.length]);
      await daemon.prepare();
      this.daemons.push(daemon);
    }
    for (const daemon of this.daemons) {
      daemon.start();
    }
  }

  /** Writes a configuration as the operator; returns the time of its ack. */
  configure({ routes, services, tenants = [], limits = {} }) {
    this.version += 1 + crypto.randomInt(3);
    const resources = [
      ...Object.entries(routes).map(([name, spec]) => ({
        resource_kind: 'routes',
        metadata: { name },
        spec: {
          host: this.host,
          timeout_ms: 4000,
          target_latency_ms: 800,
          priority: 1,
          max_attempts: 2,
          ...spec,
        },
      })),
      ...services.map((name) => ({
        resource_kind: 'services',
        metadata: { name },
        spec: { health_path: '/health', max_conns: 390, protocol: 'h1', tls: false },
      })),
      ...tenants.map(({ name, ...spec }) => ({
        resource_kind: 'tenants',
        metadata: { name },
        spec,
      })),
      {
        resource_kind: 'limits',
        metadata: {},
        spec: {
          max_header_bytes: 16_384,
          max_body_bytes: 67_108_864,
          header_timeout_ms: 3000,
          idle_timeout_ms: 15_000,
          ...limits,
        },
      },
    ];
    this.store.put('op/config', { version: this.version, resources });
    return performance.now();
  }

  async waitUntilReady(milliseconds = 20_000) {
    const endsAt = performance.now() + milliseconds;
    for (const daemon of this.daemons) {
      while (!(await daemon.isReady())) {
        if (performance.now() > endsAt) {
          throw new CannotRun(`${daemon.name} is not ready: ${daemon.log.slice(-3).join(' ')}`);
        }
        await delay(50);
      }
    }
  }

  killAll() {
    this.isClosing = true;
    for (const daemon of this.daemons) {
      daemon.process?.kill('SIGKILL');
    }
    fs.rmSync(this.directory, { recursive: true, force: true });
  }

  close() {
    this.killAll();
    for (const endpoint of this.endpoints) {
      endpoint.stop();
    }
    for (const { gate } of this.daemons) {
      gate.close();
    }
    this.store.close();
  }
}

/** Lists what was sent, answered and run, a line for each request, in seconds since the start of the first one. */
export function listRequests(records, endpoints) {
  const runs = new Map();
  for (const { id, runs: ownRuns } of endpoints) {
    for (const { requestId, startedAt } of ownRuns) {
      runs.set(requestId, [...(runs.get(requestId) ?? []), { id, startedAt }]);
    }
  }
  const sorted = [...records].sort((left, right) => left.sentAt - right.sentAt);
  const origin = sorted[0]?.sentAt ?? 0;
  const format = (at) => ((at - origin) / 1000).toFixed(3);
  return sorted.map(({ requestId, address, sentAt, endedAt, status, error }) => {
    const run = (runs.get(requestId) ?? [])
      .map(({ id, startedAt }) => `, run by ${id} at ${format(startedAt)}`)
      .join('');
    return `${format(sentAt)} ${requestId} to ${address}, answer ${status ?? error ?? 'none'} at ${format(endedAt ?? NaN)}${run}`;
  });
}

/**
 * Runs a case within its time and exits as the review asks: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
 * What `record` is called with is written to the file.
 */
export async function runCase(name, file, play) {
  const lines = [];
  const record = (text) => {
    lines.push(text);
  };
  const hasTrouble = process.env.TROUBLE !== '0';
  const finish = (code) => {
    fs.writeFileSync(file, `${lines.join('\n')}\n`);
    process.exit(code);
  };
  setTimeout(() => {
    record("the case couldn't run: it took too long");
    process.stdout.write('the case took too long\n');
    finish(2);
  }, 115_000);
  try {
    const broken = await play({ record, hasTrouble });
    const verdict = broken.length > 0 ? 'the rule was broken' : 'the rule held';
    record(verdict);
    broken.slice(0, 20).forEach((text) => record(text));
    process.stdout.write(`${name}: ${verdict}\n${broken.slice(0, 5).join('\n')}\n`);
    finish(broken.length > 0 ? 1 : 0);
  } catch (error) {
    record(`the case couldn't run: ${error.stack}`);
    process.stdout.write(`${error.stack}\n`);
    finish(2);
  }
}
