/**
 * Child processes that do not outlive this process: they are killed when it exits, and when it receives
 * SIGINT, SIGTERM or SIGHUP. Only SIGKILL leaves them running.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import * as fileSystem from 'node:fs/promises';
import * as operatingSystem from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import type { Readable } from 'node:stream';
import * as results from '@dogwoodstall/results';

const BUFFERED_LINES = 200;
const STOP_MILLISECONDS = 20_000;

const runningChildren = new Set<ChildProcess>();
let exitHandlersInstalled = false;

const temporaryDirectories = new Set<string>();

function killAll(): void {
  for (const child of runningChildren) {
    child.kill('SIGKILL');
  }
}

/** Removes a directory that `createDirectory` created. */
export async function removeDirectory(directory: string): Promise<void> {
  temporaryDirectories.delete(directory);
  await fileSystem.rm(directory, { recursive: true, force: true });
}

/** Creates a temporary directory, which is also removed when a signal ends this process. */
export async function createDirectory(): Promise<string> {
  const prefix = path.join(operatingSystem.tmpdir(), 'dogwoodstall-');
  const directory = await fileSystem.mkdtemp(prefix);
  temporaryDirectories.add(directory);
  return directory;
}

async function terminateBySignal(signal: NodeJS.Signals): Promise<void> {
  killAll();
  await Promise.allSettled([...temporaryDirectories].map(removeDirectory));
  // The handler was installed with `once`, so the signal now has its default effect.
  process.kill(process.pid, signal);
}

function installExitHandlers(): void {
  if (exitHandlersInstalled) {
    return;
  }
  exitHandlersInstalled = true;
  process.once('exit', killAll);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.once(signal, () => {
      terminateBySignal(signal).catch(() => process.kill(process.pid, 'SIGKILL'));
    });
  }
}

/** Exit code, or the signal that ended the process. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A Node.js child process whose last output lines are buffered, with a limit of open descriptors if one is given. */
export class ManagedProcess {
  readonly name: string;

  /** Resolves after the process has exited and its output is closed. */
  readonly exited: Promise<ExitStatus>;

  private readonly child: ChildProcess;

  private readonly lines: string[] = [];

  private firstLine: Promise<string>;

  private status: ExitStatus | undefined;

  constructor(
    name: string,
    commandArguments: readonly string[],
    private readonly onLine?: (line: string) => void,
    environment: NodeJS.ProcessEnv = process.env,
    descriptorLimit?: number,
  ) {
    installExitHandlers();
    this.name = name;
    const command = [process.execPath, ...commandArguments];
    const [file, ...fileArguments] =
      descriptorLimit === undefined
        ? command
        : ['/bin/sh', '-c', `ulimit -n ${descriptorLimit}; exec "$0" "$@"`, ...command];
    this.child = spawn(file as string, fileArguments, { stdio: 'pipe', env: environment });
    runningChildren.add(this.child);
    // A child that exits first causes EPIPE here, which is not an error of this process.
    this.child.stdin?.on('error', () => undefined);
    this.exited = new Promise((resolve) => {
      this.child.once('error', (error) => this.lines.push(error.message));
      this.child.once('close', (code, signal) => {
        runningChildren.delete(this.child);
        this.status = { code, signal };
        resolve(this.status);
      });
    });
    this.firstLine = new Promise((resolve) => {
      this.readLines(this.child.stdout, resolve);
      this.readLines(this.child.stderr, () => undefined);
    });
  }

  /** Exit status; undefined while the process runs. */
  get exitStatus(): ExitStatus | undefined {
    return this.status;
  }

  get processId(): number | undefined {
    return this.child.pid;
  }

  /** The last lines of standard output and standard error. */
  get output(): string {
    return this.lines.join('\n');
  }

  /** Standard output as its reader sees it, for tests whose reader pauses or goes away. */
  get standardOutput(): Readable {
    return this.child.stdout as Readable;
  }

  /** The same for standard error. */
  get standardError(): Readable {
    return this.child.stderr as Readable;
  }

  /** Waits for the first line of standard output; throws `ProcessStartFailed` if the process exits first. */
  async waitForFirstLine(): Promise<string> {
    const line = await Promise.race([this.firstLine, this.exited]);
    if (typeof line !== 'string') {
      throw this.createStartError('exited before it printed its address');
    }
    return line;
  }

  /** Sends a signal to the process. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends SIGTERM, then SIGKILL after the grace period. */
  async stop(graceMilliseconds = STOP_MILLISECONDS): Promise<ExitStatus> {
    // A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
    this.child.kill('SIGCONT');
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), graceMilliseconds);
    const status = await this.exited;
    clearTimeout(timer);
    return status;
  }

  async kill(): Promise<ExitStatus> {
    this.child.kill('SIGKILL');
    return this.exited;
  }

  /** Creates a `ProcessStartFailed` error that includes the last output. */
  createStartError(reason: string): results.FailureError {
    return new results.FailureError('ProcessStartFailed', `${this.name} ${reason}\n${this.output}`);
  }

  private readLines(stream: NodeJS.ReadableStream | null, onLine: (line: string) => void): void {
    if (stream === null) {
      return;
    }
    readline.createInterface({ input: stream }).on('line', (line) => {
      this.lines.push(line);
      if (this.lines.length > BUFFERED_LINES) {
        this.lines.shift();
      }
      onLine(line);
      this.onLine?.(line);
    });
  }
}
