/**
 * A small deployment: the program of the deploy file as separate processes on loopback addresses, with settings that are
 * filled in from the template of the deploy file.
 */
import { spawn } from 'node:child_process';
import * as dgram from 'node:dgram';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { fillTemplate } from './template.mjs';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Reads what the deploy file says of the one role. */
function readDeployFile() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const read = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  return { run: read('run').split(' '), template: read('template') };
}

function canBind(create) {
  return new Promise((resolve) => {
    create(
      () => resolve(true),
      () => resolve(false),
    );
  });
}

async function isFree(host, ports) {
  for (const port of ports) {
    const isFreeTcp = await canBind((done, fail) => {
      const server = net.createServer();
      server.once('error', fail);
      server.listen(port, host, () => server.close(done));
    });
    const isFreeUdp = await canBind((done, fail) => {
      const socket = dgram.createSocket('udp4');
      socket.once('error', fail);
      socket.bind(port, host, () => socket.close(done));
    });
    if (!isFreeTcp || !isFreeUdp) {
      return false;
    }
  }
  return true;
}

/** Finds a loopback network whose hosts have the given ports free; its hosts differ from those of other scripts. */
async function findNetwork(hosts, ports) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    const checks = Array.from({ length: hosts }, (_, index) =>
      isFree(`${network}.${index + 1}`, ports),
    );
    if ((await Promise.all(checks)).every(Boolean)) {
      return network;
    }
  }
  throw new Error('no free loopback network');
}

const PORTS = { front: 8161, ready: 8167, control: 8166, internal: 7720 };

/** One machine with its process, which is started again when it ends, as the platform does. */
class Machine {
  ends = [];

  output = '';

  isStopped = false;

  constructor(options) {
    Object.assign(this, options);
  }

  get pid() {
    return this.child?.pid;
  }

  start() {
    const [command, ...words] = this.run;
    const program = command === 'node' ? process.execPath : command;
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, DOGWOODSTALL_SETTINGS: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (chunk) => {
      this.output = (this.output + chunk).slice(-400_000);
    };
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    this.child.once('exit', (code, signal) => {
      this.ends.push({ at: performance.now(), code, signal });
      this.child = undefined;
      if (!this.isStopped) {
        setTimeout(() => this.isStopped || this.start(), 300);
      }
    });
  }

  signal(name) {
    this.child?.kill(name);
  }

  async isReady() {
    return new Promise((resolve) => {
      const request = http.get(
        `http://${this.host}:${PORTS.ready}/-/readiness`,
        { agent: false, timeout: 1000 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.once('timeout', () => request.destroy());
      request.once('error', () => resolve(false));
    });
  }

  /** Removes the machine for good, with SIGTERM. */
  async remove() {
    this.isStopped = true;
    this.signal('SIGTERM');
    while (this.child !== undefined) {
      await delay(20);
    }
  }

  async stop() {
    this.isStopped = true;
    while (this.child !== undefined) {
      this.child.kill('SIGKILL');
      await delay(20);
    }
  }
}

/** Creates the machines of a deployment; `fields` are added to the settings of DEPLOY.md. */
export class Deployment {
  machines = [];

  static async create({ count, storeAddress, fields = {} }) {
    const deployment = new Deployment();
    deployment.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'dogwoodstall-review-'));
    deployment.network = await findNetwork(count, Object.values(PORTS));
    const { run, template } = readDeployFile();
    const text = fs.readFileSync(path.join(ROOT, template), 'utf8');
    const hosts = Array.from({ length: count }, (_, index) => `${deployment.network}.${index + 1}`);
    for (const [index, host] of hosts.entries()) {
      const settings = {
        node: `front-recife-a-${index + 1}`,
        zone: 'recife-a',
        seeds: hosts.slice(0, 3).map((seed) => `${seed}:${PORTS.control}`),
        listen: {
          front: `${host}:${PORTS.front}`,
          ready: `${host}:${PORTS.ready}`,
          control: `${host}:${PORTS.control}`,
        },
        internal_ports: [PORTS.internal, PORTS.internal + 15],
        platform: { address: storeAddress },
        bounds: {
          retry_budget_ratio: 0.2,
          budget_window_s: 10,
          retry_budget_slack: 58,
          grace_s: 6,
        },
        limits: { memory_mb: 350, max_fds: 4100, cores: 1, cpu_share: 0.54 },
        ...fields,
      };
      const settingsFile = path.join(deployment.folder, `${settings.node}.toml`);
      fs.writeFileSync(settingsFile, fillTemplate(text, settings));
      deployment.machines.push(
        new Machine({
          host,
          run,
          settingsFile,
          folder: deployment.folder,
          name: settings.node,
          front: { host, port: PORTS.front },
        }),
      );
    }
    return deployment;
  }

  async start() {
    this.machines.forEach((machine) => machine.start());
    await this.waitUntilReady(15_000);
    // A daemon that has just started does not dispatch at once.
    await delay(2500);
  }

  async waitUntilReady(milliseconds) {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      const ready = await Promise.all(this.machines.map((machine) => machine.isReady()));
      if (ready.every(Boolean)) {
        return;
      }
      await delay(50);
    }
    throw new Error('the machines are not ready in time');
  }

  async stop() {
    await Promise.all(this.machines.map((machine) => machine.stop()));
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}
