/**
 * A minimal HTTP endpoint for tests.
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Endpoint } from '@dogwoodstall/traffic';

/** An endpoint that counts its requests and responds with its id. */
export class CountingEndpoint {
  requests = 0;

  /** Times at which requests arrived, by their id. */
  readonly arrivedAt = new Map<string, number>();

  /** Milliseconds before each response. */
  responseDelay = 5;

  private readonly server = http.createServer((request, response) => {
    this.requests += 1;
    this.arrivedAt.set(String(request.headers['request-id']), performance.now());
    request.resume();
    setTimeout(() => {
      response.writeHead(200, { 'Request-Id': String(request.headers['request-id']) });
      response.end(this.id);
    }, this.responseDelay);
  });

  constructor(
    readonly id: string,
    readonly service = 'valuation',
  ) {}

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  describe(changes: Partial<Endpoint> = {}): Endpoint {
    return {
      id: this.id,
      service: this.service,
      address: `127.0.0.1:${(this.server.address() as AddressInfo).port}`,
      zone: 'a',
      slots: 4,
      draining: false,
      warmUpMilliseconds: 0,
      lifetime: 1,
      ...changes,
    };
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
