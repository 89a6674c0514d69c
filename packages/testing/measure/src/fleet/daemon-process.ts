/**
 * One daemon of a local fleet as a child process that can be killed, paused, stopped and restarted.
 */
import * as fileSystem from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import * as results from '@dogwoodstall/results';
import type * as settings from '@dogwoodstall/settings';
import * as toml from 'smol-toml';
import * as undici from 'undici';
import { ManagedProcess, type ExitStatus } from './managed-process.js';

const READY_POLL_MILLISECONDS = 50;
const DEFAULT_READY_MILLISECONDS = 20_000;
const READY_PATH = '/.well-known/dogwoodstall/ready';

/** Settings of a daemon and the command that starts it. */
export interface DaemonOptions {
  readonly settings: settings.SettingsInput;
  readonly settingsFile: string;
  /** Arguments of Node.js; `daemon --settings FILE` is appended. */
  readonly command: readonly string[];
  /** Receives each line of the daemon's log. */
  readonly onLine?: (line: string) => void;
}

/** One daemon; every start creates a new process with the same settings. */
export class DaemonProcess {
  readonly name: string;

  readonly zone: string;

  readonly region: string;

  /** Address on which the daemon accepts callers' requests. */
  readonly callerAddress: string;

  readonly administrationAddress: string;

  readonly settingsFile: string;

  private readonly options: DaemonOptions;

  private process: ManagedProcess | undefined;

  constructor(options: DaemonOptions) {
    this.options = options;
    this.settingsFile = options.settingsFile;
    this.name = options.settings.name;
    this.zone = options.settings.zone;
    this.region = options.settings.region;
    this.callerAddress = options.settings.listen.caller;
    this.administrationAddress = options.settings.listen.administration;
  }

  /** The last lines that the current process wrote. */
  get output(): string {
    return this.process?.output ?? '';
  }

  /** Exit status of the last process; undefined while it runs. */
  get exitStatus(): ExitStatus | undefined {
    return this.process?.exitStatus;
  }

  get processId(): number | undefined {
    return this.process?.processId;
  }

  /** Starts a new process with the same settings; does not wait until it is ready. */
  async start(): Promise<void> {
    const { settings: input, settingsFile, command } = this.options;
    await fileSystem.writeFile(settingsFile, toml.stringify(input));
    this.process = new ManagedProcess(
      this.name,
      [...command, 'daemon', '--settings', settingsFile],
      this.options.onLine,
    );
  }

  /** Waits until the readiness check returns 200; throws `ProcessStartFailed` on a timeout or an early exit. */
  async waitUntilReady(timeoutMilliseconds = DEFAULT_READY_MILLISECONDS): Promise<void> {
    const { process: child } = this;
    if (child === undefined) {
      throw new results.FailureError('ProcessStartFailed', `${this.name} was not started`);
    }
    const deadline = performance.now() + timeoutMilliseconds;
    while (performance.now() < deadline) {
      if (child.exitStatus !== undefined) {
        throw child.createStartError('exited before it was ready');
      }
      if (await this.isReady()) {
        return;
      }
      await sleep(READY_POLL_MILLISECONDS);
    }
    throw child.createStartError('did not become ready within the timeout');
  }

  async isReady(): Promise<boolean> {
    try {
      const response = await undici.request(`http://${this.callerAddress}${READY_PATH}`, {
        reset: true,
        headersTimeout: 1000,
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Graceful shutdown by SIGTERM, followed by SIGKILL after the grace period. */
  async stop(graceMilliseconds?: number): Promise<ExitStatus | undefined> {
    return this.process?.stop(graceMilliseconds);
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<ExitStatus | undefined> {
    return this.process?.kill();
  }

  /** Sends SIGSTOP: connections stay open, but the daemon does not respond. */
  pause(): void {
    this.process?.sendSignal('SIGSTOP');
  }

  /** Sends SIGCONT. */
  resume(): void {
    this.process?.sendSignal('SIGCONT');
  }

  /** Shuts the daemon down gracefully and waits until a new process is ready. */
  async restart(): Promise<ExitStatus | undefined> {
    const status = await this.stop();
    await this.start();
    await this.waitUntilReady();
    return status;
  }
}
