/**
 * A stand-in of the administration API that answers from a list.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import { text } from 'node:stream/consumers';
import { fileURLToPath } from 'node:url';

const program = fileURLToPath(new URL('../../bin/dogwoodstall.js', import.meta.url));

/** What the built program printed and its exit code. */
export interface ProgramOutcome {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs the built program; without `address` it knows no administration API. */
export async function runBuiltProgram(
  programArguments: readonly string[],
  address?: string,
): Promise<ProgramOutcome> {
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

/** Runs the built program with a standard output that nobody reads. */
export async function runWithClosedOutput(
  programArguments: readonly string[],
): Promise<Omit<ProgramOutcome, 'output'>> {
  const child = spawn(process.execPath, [program, ...programArguments], { stdio: 'pipe' });
  child.stdout.destroy();
  const closed = once(child, 'close');
  const errors = await text(child.stderr);
  const [code] = (await closed) as [number];
  return { code, errors };
}

/** One answer; `lost` closes the connection instead. */
export type StubAnswer = { readonly status: number; readonly body: unknown } | 'lost';

/** Answers requests from a list, in order. */
export class StubServer {
  readonly requests: { readonly path: string; readonly body: Record<string, unknown> }[] = [];

  private readonly answers: StubAnswer[] = [];

  private readonly server = http.createServer((request, response) => {
    this.answer(request, response).catch(() => response.destroy());
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

  expect(...answers: readonly StubAnswer[]): void {
    this.requests.length = 0;
    this.answers.push(...answers);
  }

  private async answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = (await text(request)) || '{}';
    const parsed = JSON.parse(body) as Record<string, unknown>;
    this.requests.push({ path: request.url ?? '', body: parsed });
    const answer = this.answers.shift() ?? 'lost';
    if (answer === 'lost') {
      request.socket.destroy();
      return;
    }
    response.statusCode = answer.status;
    response.end(JSON.stringify(answer.body));
  }
}
