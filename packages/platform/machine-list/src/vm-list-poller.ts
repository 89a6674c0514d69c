/**
 * Follows the platform's list of VMs. The list lags and may be away; the last one read is kept, and
 * its age is told.
 */
import { EventEmitter } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { FailureError, callWithLimit } from '@dogwoodstall/results';
import * as most from 'most';
import * as undici from 'undici';
import * as zod from 'zod';

const DEFAULT_POLL_MILLISECONDS = 5000;
const CALL_MILLISECONDS = 2000;
// Polls of a fleet that started together spread over half of the interval.
const JITTER_SHARE = 0.5;
const MAXIMUM_MACHINES = 20_000;
const HTTP_OK = 200;

/** The answer of `GET /machines`. */
export const vmListSchema = zod.object({
  machines: zod
    .array(
      zod.object({
        name: zod.string().min(1).max(100),
        zone: zod.string().min(1).max(100),
        region: zod.string().min(1).max(100),
        peerAddress: zod.string().max(100),
        state: zod.enum(['live', 'leaving']),
      }),
    )
    .max(MAXIMUM_MACHINES),
});

/** One VM of the list. */
export type Vm = zod.infer<typeof vmListSchema>['machines'][number];

/** Options of the machine list. */
export interface VmListPollerOptions {
  /** `IP address:port`; without it the list stays empty. */
  readonly address?: string | undefined;
  readonly pollMilliseconds?: number;
  /** Called with each failed poll. */
  readonly onFailure?: (error: FailureError) => void;
}

/** The last known list of VMs. */
export class VmListPoller {
  /** Each list that differs from the one before. */
  readonly changes: most.Stream<readonly Vm[]>;

  private readonly options: VmListPollerOptions;

  private readonly emitter = new EventEmitter();

  private readonly stopping = new AbortController();

  private known: readonly Vm[] = [];

  private readAt: number | undefined;

  private task: Promise<void> | undefined;

  constructor(options: VmListPollerOptions) {
    this.options = options;
    this.changes = most.fromEvent<readonly Vm[]>('machines', this.emitter).multicast();
  }

  /** The machines of the last list that could be read. */
  get machines(): readonly Vm[] {
    return this.known;
  }

  /** Milliseconds since the list was read; undefined before the first time. */
  get ageMilliseconds(): number | undefined {
    return this.readAt === undefined ? undefined : performance.now() - this.readAt;
  }

  /** Starts polling. */
  start(): void {
    if (this.options.address !== undefined) {
      this.task ??= this.poll(this.options.address);
    }
  }

  /** Stops polling. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  private async poll(address: string): Promise<void> {
    const { signal } = this.stopping;
    const interval = this.options.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS;
    while (!signal.aborted) {
      try {
        this.accept(await this.read(address));
      } catch (error) {
        if (!signal.aborted) {
          const failure = new FailureError('MachineListUnavailable', undefined, { cause: error });
          this.options.onFailure?.(failure);
        }
      }
      const pause = interval * (1 - JITTER_SHARE * Math.random());
      await delay(pause, undefined, { signal }).catch(() => {});
    }
  }

  private async read(address: string): Promise<readonly Vm[]> {
    return callWithLimit(CALL_MILLISECONDS, this.stopping.signal, async (signal) => {
      const answer = await undici.request(`http://${address}/machines`, { signal });
      if (answer.statusCode !== HTTP_OK) {
        await answer.body.dump();
        throw new Error(`the list of VMs answered ${answer.statusCode}`);
      }
      return vmListSchema.parse(await answer.body.json()).machines;
    });
  }

  private accept(machines: readonly Vm[]): void {
    this.readAt = performance.now();
    if (JSON.stringify(machines) !== JSON.stringify(this.known)) {
      this.known = machines;
      this.emitter.emit('machines', machines);
    }
  }
}
