/**
 * Binds the port of an HTTP server.
 */
import type * as http from 'node:http';
import { FailureError } from '@dogwoodstall/results';

/** Starts listening and resolves when the port is bound; throws `ListenFailed`. */
export async function listenHttp(server: http.Server, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', (cause) => {
      server.off('listening', resolve);
      reject(new FailureError('ListenFailed', cause.message, { cause }));
    });
    server.listen(port, host, resolve);
  });
}
