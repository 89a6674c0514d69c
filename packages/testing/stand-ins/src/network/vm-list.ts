/**
 * Stand-in for the platform's list of VMs. Changes become visible after a configurable lag.
 */
import * as http from 'node:http';
import * as zod from 'zod';
import { ControlServer, closeServer, listen, writeJson } from '../control-server.js';

/** Entry of the list of VMs, as `GET /machines` returns it. */
export const vmSchema = zod.strictObject({
  name: zod.string(),
  zone: zod.string(),
  region: zod.string(),
  peerAddress: zod.string(),
  state: zod.enum(['live', 'leaving']),
});

/** One listed VM. */
export type ListedVm = zod.output<typeof vmSchema>;

const vmsCallSchema = zod.strictObject({ machines: zod.array(vmSchema) });

interface VisibleList {
  readonly machines: readonly ListedVm[];
  readonly visibleAt: number;
}

/** HTTP server that returns the list of VMs. */
export class VmListStandIn {
  readonly control: ControlServer;

  private readonly server: http.Server;

  private lists: VisibleList[] = [{ machines: [], visibleAt: 0 }];

  private lagMilliseconds: number;

  private requests = 0;

  private boundAddress = '';

  constructor(lagMilliseconds = 0) {
    this.lagMilliseconds = lagMilliseconds;
    this.server = http.createServer((request, response) => this.handleRequest(request, response));
    this.control = new ControlServer({
      'GET /requests': () => ({ requests: this.requests }),
      'POST /lag': (body) => {
        this.lagMilliseconds = zod
          .strictObject({ milliseconds: zod.number() })
          .parse(body).milliseconds;
      },
      'POST /machines': (body) => this.setVms(vmsCallSchema.parse(body).machines),
    });
  }

  get address(): string {
    return this.boundAddress;
  }

  async start(address = '127.0.0.1:0', controlAddress = '127.0.0.1:0'): Promise<void> {
    this.boundAddress = await listen(this.server, address);
    await this.control.start(controlAddress);
  }

  async stop(): Promise<void> {
    await closeServer(this.server);
    await this.control.stop();
  }

  /** Replaces the list; the new list becomes visible after the lag. */
  setVms(machines: readonly ListedVm[]): void {
    const now = performance.now();
    const visible = this.lists.findLastIndex((list) => list.visibleAt <= now);
    this.lists = this.lists.slice(Math.max(0, visible));
    this.lists.push({ machines, visibleAt: now + this.lagMilliseconds });
  }

  private handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url !== '/machines') {
      writeJson(response, 404, { message: 'not found' });
      return;
    }
    this.requests += 1;
    const now = performance.now();
    const current = this.lists.findLast((list) => list.visibleAt <= now);
    writeJson(response, 200, { machines: current?.machines ?? [] });
  }
}
