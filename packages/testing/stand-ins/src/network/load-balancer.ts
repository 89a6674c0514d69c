/**
 * Stand-in for the platform's load balancer. It forwards TCP connections round robin to the daemons
 * whose readiness check returns 200. Open connections are kept when a daemon becomes unready.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as zod from 'zod';
import { ControlServer, listen, parseAddress } from '../control-server.js';

const DEFAULT_POLL_MILLISECONDS = 250;
const DEFAULT_CHECK_TIMEOUT_MILLISECONDS = 500;
const READY_PATH = '/.well-known/dogwoodstall/ready';

/** Options of the load balancer. */
export interface LoadBalancerOptions {
  /** Addresses on which the daemons accept callers. */
  readonly targets: readonly string[];
  readonly pollMilliseconds?: number;
  readonly checkTimeoutMilliseconds?: number;
}

async function checkReady(target: string, timeoutMilliseconds: number): Promise<boolean> {
  return new Promise((resolve) => {
    const request = http.get(
      `http://${target}${READY_PATH}`,
      { agent: false, timeout: timeoutMilliseconds },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(false));
    request.once('close', () => resolve(false));
  });
}

/** Load balancer that polls the readiness of its targets. */
export class LoadBalancerStandIn {
  readonly control: ControlServer;

  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  private readonly options: LoadBalancerOptions;

  private targets: readonly string[];

  private readonly ready = new Set<string>();

  private nextIndex = 0;

  private pollTimer: NodeJS.Timeout | undefined;

  private boundAddress = '';

  constructor(options: LoadBalancerOptions) {
    this.options = options;
    this.targets = options.targets;
    this.server = net.createServer({ allowHalfOpen: true }, (socket) => this.forward(socket));
    this.control = new ControlServer({
      'GET /targets': () => ({ targets: this.targets, ready: [...this.ready] }),
      'POST /targets': (body) => {
        this.targets = zod.strictObject({ targets: zod.array(zod.string()) }).parse(body).targets;
      },
    });
  }

  get address(): string {
    return this.boundAddress;
  }

  /** The targets whose last readiness check returned 200. */
  get readyTargets(): ReadonlySet<string> {
    return this.ready;
  }

  async start(address = '127.0.0.1:0', controlAddress = '127.0.0.1:0'): Promise<void> {
    this.boundAddress = await listen(this.server, address);
    await this.control.start(controlAddress);
    await this.poll();
  }

  async stop(): Promise<void> {
    clearTimeout(this.pollTimer);
    this.pollTimer = undefined;
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      for (const socket of this.sockets) {
        socket.destroy();
      }
    });
    await this.control.stop();
  }

  private async poll(): Promise<void> {
    const timeout = this.options.checkTimeoutMilliseconds ?? DEFAULT_CHECK_TIMEOUT_MILLISECONDS;
    await Promise.all(
      this.targets.map(async (target) => {
        if (await checkReady(target, timeout)) {
          this.ready.add(target);
        } else {
          this.ready.delete(target);
        }
      }),
    );
    if (this.server.listening) {
      this.pollTimer = setTimeout(
        () => this.poll(),
        this.options.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS,
      );
    }
  }

  private chooseTarget(): string | undefined {
    const candidates = this.targets.filter((target) => this.ready.has(target));
    this.nextIndex += 1;
    return candidates[this.nextIndex % Math.max(1, candidates.length)];
  }

  private forward(caller: net.Socket): void {
    const chosen = this.chooseTarget();
    if (chosen === undefined) {
      caller.resetAndDestroy();
      return;
    }
    const { host, port } = parseAddress(chosen);
    const target = net.connect({ host, port, allowHalfOpen: true, noDelay: true });
    caller.setNoDelay(true);
    this.pipe(caller, target);
    this.pipe(target, caller);
  }

  private pipe(source: net.Socket, target: net.Socket): void {
    this.sockets.add(source);
    source.pipe(target);
    source.on('error', () => target.resetAndDestroy());
    source.once('close', () => {
      this.sockets.delete(source);
      target.end();
    });
  }
}
