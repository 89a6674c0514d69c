/**
 * A small deployment on loopback: store, endpoints, daemons, balancer and callers, and the record of what they saw.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { Balancer, send } from './callers.mjs';
import { Daemon } from './daemon.mjs';
import { Endpoint } from './endpoint.mjs';
import { Store } from './store.mjs';

/** Figures of a small deployment, in the words of the platform's pages. */
export const bounds = {
  stability_window_ms: 3000,
  drain_ms: 2000,
  grace_s: 6,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 58,
};
export const HOST = 'shop.example';
/** A case ends after this time in any case. */
const MAXIMUM_MILLISECONDS = 115_000;
const START_TIMEOUT_MILLISECONDS = 20_000;

/** Finds a number of ports that are free on all given hosts. */
async function findPorts(hosts, count) {
  const ports = [];
  let port = 20_000 + Math.floor(Math.random() * 10_000);
  while (ports.length < count) {
    port += 1;
    const candidate = port;
    const free = await Promise.all(
      hosts.map(
        (host) =>
          new Promise((resolve) => {
            const server = net.createServer();
            server.once('error', () => resolve(false));
            server.listen(candidate, host, () => server.close(() => resolve(true)));
          }),
      ),
    );
    if (!free.includes(false)) {
      ports.push(candidate);
    }
  }
  return ports;
}

export class Deployment {
  store = new Store();

  endpoints = [];

  daemons = [];

  /** What was sent, by request id. */
  sent = new Map();

  /** Requests that reached the endpoint that they were meant for. */
  arrivals = [];

  runs = new Map();

  lines = [];

  startedAt = performance.now();

  endpointCount = 0;

  requestCount = 0;

  constructor(programFolder) {
    this.programFolder = programFolder;
    this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'dogwoodstall-review-'));
  }

  record = (text) => {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} ${text}`);
  };

  writeConfiguration(version, routes, services) {
    this.store.put('op/config', {
      version,
      resources: [
        ...routes.map(({ name, ...spec }) => ({
          resource_kind: 'routes',
          metadata: { name },
          spec: {
            host: HOST,
            timeout_ms: 1500,
            target_latency_ms: 400,
            max_attempts: 2,
            priority: 1,
            ...spec,
          },
        })),
        ...services.map((name) => ({
          resource_kind: 'services',
          metadata: { name },
          spec: { max_conns: 330 },
        })),
        {
          resource_kind: 'limits',
          spec: {
            max_header_bytes: 16_384,
            max_body_bytes: 67_108_864,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
          },
        },
      ],
    });
    this.record(`configuration ${version} is acknowledged`);
  }

  async addEndpoint(options) {
    this.endpointCount += 1;
    const endpoint = new Endpoint({
      id: `i-${this.endpointCount}`,
      host: '127.0.0.1',
      zone: 'a',
      slots: 4,
      workMilliseconds: 40,
      store: this.store,
      record: this.record,
      ...options,
    });
    endpoint.onArrival = (requestId) => {
      this.arrivals.push({ requestId, endpoint, at: performance.now() });
    };
    endpoint.onRun = (requestId) => {
      this.runs.set(requestId, [...(this.runs.get(requestId) ?? []), endpoint.id]);
    };
    await endpoint.start();
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Starts daemons and waits until all are ready. */
  async startDaemons(count) {
    const network = 1 + Math.floor(Math.random() * 200);
    const hosts = Array.from({ length: count }, (_, index) => `127.3.${network}.${index + 1}`);
    const [front, ready, control, internal, last] = await findPorts(hosts, 5);
    const seeds = hosts.slice(0, 3).map((host) => `${host}:${control}`);
    for (const [index, ip] of hosts.entries()) {
      const node = `front-a-${index + 1}`;
      const fields = {
        node,
        zone: 'a',
        ip,
        listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
        internal_ports: [internal, last],
        seeds,
        limits: { cpu_share: 0.54, cores: 1, memory_mb: 350 },
        bounds,
        platform: { address: await this.store.listenFor(node, ip) },
      };
      this.daemons.push(new Daemon(fields, this.temporary, this.programFolder));
    }
    for (const daemon of this.daemons) {
      daemon.start();
    }
    this.balancer = new Balancer(this.daemons);
    await this.balancer.start();
    const startedAt = performance.now();
    while (this.balancer.ready.length < count) {
      if (performance.now() - startedAt > START_TIMEOUT_MILLISECONDS) {
        throw new Error('the daemons are not ready');
      }
      await delay(100);
    }
  }

  /** Returns the daemon whose figure grew most during two seconds. */
  async findFastest(readFigure) {
    const before = this.daemons.map(readFigure);
    await delay(2000);
    const growth = this.daemons.map((daemon, index) => readFigure(daemon) - before[index]);
    return this.daemons[growth.indexOf(Math.max(...growth))];
  }

  /** Returns the daemon that dispatches most requests, which logs each of its decisions. */
  findDispatcher() {
    return this.findFastest(({ logFile }) => fs.statSync(logFile).size);
  }

  /** Returns the daemon that reads the endpoints from the store most often. */
  findReader() {
    return this.findFastest(({ name }) => this.store.reads.get(name) ?? 0);
  }

  /** Starts an endpoint and lets the oldest one of its service leave. */
  async replaceEndpoint(service, options) {
    await this.addEndpoint({ service });
    this.endpoints
      .find((endpoint) => endpoint.service === service && !endpoint.leaving)
      .leave(options);
  }

  /** Sends one request of a caller and records its answer. */
  async request({ method = 'POST', body = 'offer', deadline = 1500, ...options }) {
    const { path: target, daemon = this.balancer.choose() } = options;
    this.requestCount += 1;
    const requestId = `r-${this.requestCount}`;
    const sent = { requestId, daemon, at: performance.now(), target };
    this.sent.set(requestId, sent);
    this.record(`${requestId} is sent to ${daemon.name}: ${method} ${target}`);
    sent.answer = await send({
      address: daemon.fields.listen.front,
      method,
      path: target,
      host: HOST,
      requestId,
      deadline,
      body: method === 'POST' ? body : undefined,
      timeout: deadline + 100,
    });
    sent.milliseconds = performance.now() - sent.at;
    this.record(`${requestId} is answered: ${sent.answer.status ?? sent.answer.error}`);
    return sent;
  }

  /** Sends requests at random times with a mean rate until `stopTraffic` is called. */
  startTraffic(perSecond, createRequest) {
    const next = () => {
      this.trafficTimer = setTimeout(
        () => {
          next();
          this.request(createRequest()).catch((error) => this.record(`error: ${error}`));
        },
        (-Math.log(1 - Math.random()) * 1000) / perSecond,
      );
    };
    next();
  }

  stopTraffic() {
    clearTimeout(this.trafficTimer);
  }

  /** Whether a daemon was not disturbed for the stability window before a time. */
  wasInTouch(daemon, at) {
    return at - daemon.disturbedAt > bounds.stability_window_ms;
  }

  /** Lists the requests that broke the time limit of a drain; daemons that were ever disturbed don't count. */
  listLateArrivals() {
    return this.arrivals.flatMap(({ requestId, endpoint, at }) => {
      const sent = this.sent.get(requestId);
      const late = at - endpoint.leftAt;
      const isBroken = late > bounds.drain_ms && sent?.daemon.disturbedAt === -Infinity;
      return isBroken ? [{ requestId, endpoint, daemon: sent.daemon, late }] : [];
    });
  }

  describeLateArrivals() {
    return this.listLateArrivals().map(
      ({ requestId, endpoint, daemon, late }) =>
        `DRAIN: ${requestId}, sent by ${daemon.name}, reached ${endpoint.id} ${Math.round(late)} ms after the ack`,
    );
  }

  countAnswers() {
    const counts = {};
    for (const { answer } of this.sent.values()) {
      const key = answer?.status ?? answer?.error ?? 'none';
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  }

  async close() {
    this.stopTraffic();
    this.balancer?.stop();
    await Promise.all(this.daemons.map((daemon) => daemon.close()));
    for (const endpoint of this.endpoints) {
      endpoint.stop();
    }
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) {
      fs.rmSync(this.temporary, { recursive: true });
    } else {
      process.stdout.write(`logs: ${this.temporary}\n`);
    }
  }
}

/**
 * Runs a case and writes its record to a file; ends the process with 0 if the rule held, 1 if it was broken and 2 if the case could not run. `play`
 * returns the violations as texts.
 */
export async function runCase(recordFile, play) {
  const deployment = new Deployment();
  const end = () => process.exit(2);
  process.on('SIGTERM', end);
  process.on('SIGINT', end);
  process.on('exit', () => {
    fs.writeFileSync(recordFile, `${deployment.lines.join('\n')}\n`);
    for (const { process: child } of deployment.daemons) {
      child?.kill('SIGKILL');
    }
  });
  setTimeout(end, MAXIMUM_MILLISECONDS).unref();
  let code = 2;
  try {
    const violations = await play(deployment, process.env.TROUBLE !== '0');
    deployment.record(`answers: ${JSON.stringify(deployment.countAnswers())}`);
    for (const violation of violations) {
      deployment.record(`BROKEN ${violation}`);
      process.stdout.write(`BROKEN ${violation}\n`);
    }
    process.stdout.write(`answers: ${JSON.stringify(deployment.countAnswers())}\n`);
    code = violations.length > 0 ? 1 : 0;
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
  } finally {
    await deployment.close();
  }
  process.exit(code);
}
