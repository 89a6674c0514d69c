/**
 * Runs the built program, and a stub of the administration API with predefined responses.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import { text } from 'node:stream/consumers';
import { fileURLToPath } from 'node:url';

const program = fileURLToPath(new URL('../../bin/dogwoodstall.js', import.meta.url));

/** The output and exit code of the program. */
export interface ProgramResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs the built program; without `address`, no administration API is configured. */
export async function runBuiltProgram(
  programArguments: readonly string[],
  address?: string,
): Promise<ProgramResult> {
  const child = spawn(process.execPath, [program, ...programArguments], {
    env: {
      NO_COLOR: '1',
      ...(address !== undefined && { DOGWOODSTALL_ADDRESS: address, DOGWOODSTALL_TOKEN: 'token' }),
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const closed = once(child, 'close');
  const [output, errors] = await Promise.all([text(child.stdout), text(child.stderr)]);
  const [code] = (await closed) as [number];
  return { code, output, errors };
}

/** Runs the built program and closes its standard output immediately. */
export async function runWithClosedOutput(
  programArguments: readonly string[],
): Promise<Omit<ProgramResult, 'output'>> {
  const child = spawn(process.execPath, [program, ...programArguments], { stdio: 'pipe' });
  child.stdout.destroy();
  const closed = once(child, 'close');
  const errors = await text(child.stderr);
  const [code] = (await closed) as [number];
  return { code, errors };
}

/** One response; `lost` closes the connection instead of responding. */
export type StubResponse = { readonly status: number; readonly body: unknown } | 'lost';

/** Records requests and responds to them from a list, in order. */
export class AdministrationApiStub {
  readonly requests: { readonly path: string; readonly body: Record<string, unknown> }[] = [];

  private readonly responses: StubResponse[] = [];

  private readonly server = http.createServer((request, response) => {
    this.respond(request, response).catch(() => response.destroy());
  });

  async start(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
    await once(this.server, 'close');
  }

  expect(...responses: readonly StubResponse[]): void {
    this.requests.length = 0;
    this.responses.push(...responses);
  }

  private async respond(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = (await text(request)) || '{}';
    const parsed = JSON.parse(body) as Record<string, unknown>;
    this.requests.push({ path: request.url ?? '', body: parsed });
    const stubResponse = this.responses.shift() ?? 'lost';
    if (stubResponse === 'lost') {
      request.socket.destroy();
      return;
    }
    response.statusCode = stubResponse.status;
    response.end(JSON.stringify(stubResponse.body));
  }
}
