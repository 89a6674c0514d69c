/**
 * HTTP server for the readiness check of the platform's load balancer.
 */
import * as http from 'node:http';
import { limitConnections } from './limit-connections.js';
import { listenHttp } from './listen-http.js';
import type { SideTaskErrors } from './side-task-errors.js';

const MAXIMUM_CONNECTIONS = 16;

/** Responds with 200 while the daemon accepts requests of callers, otherwise with 503. */
export class ReadinessServer {
  private readonly server: http.Server;

  /** `burst` connections may arrive at once beyond the usual ones. */
  constructor(path: string, isReady: () => boolean, errors: SideTaskErrors, burst: number) {
    this.server = http.createServer((request, response) => {
      if (request.url !== path) {
        response.writeHead(404).end();
        return;
      }
      const ready = isReady();
      response.writeHead(ready ? 200 : 503, { 'Content-Type': 'text/plain' });
      response.end(ready ? 'ready\n' : 'not ready\n');
    });
    errors.watchServer(this.server, 'readiness');
    limitConnections(this.server, { maximum: MAXIMUM_CONNECTIONS, burst });
  }

  /** Binds the port; throws `ListenFailed`. */
  async listen(host: string, port: number): Promise<void> {
    await listenHttp(this.server, host, port);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
