/**
 * Polls the platform's list of VMs. The list lags behind and may be unavailable; the poller keeps the
 * last list that it read and reports its age.
 */
import { EventEmitter } from 'node:events';
import { setTimeout as delay } from 'node:timers/promises';
import { FailureError, callWithTimeout, rejectOnAbort } from '@dogwoodstall/results';
import * as most from 'most';
import * as undici from 'undici';
import * as zod from 'zod';

const DEFAULT_POLL_MILLISECONDS = 5000;
const CALL_TIMEOUT_MILLISECONDS = 2000;
// Spreads the polls of daemons that started together over half of the interval.
const JITTER_SHARE = 0.5;
const MAXIMUM_VMS = 20_000;
const HTTP_OK = 200;

/** Response of `GET /machines`. */
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
    .max(MAXIMUM_VMS),
});

/** A VM in the list. */
export type Vm = zod.infer<typeof vmListSchema>['machines'][number];

/** Options of `VmListPoller`. */
export interface VmListPollerOptions {
  /** `IP address:port`; if absent, the list stays empty. */
  readonly address?: string | undefined;
  readonly pollMilliseconds?: number;
  /** Called after each failed poll. */
  readonly onFailure?: (error: FailureError) => void;
}

/** Polls the list of VMs and keeps the last one that was read successfully. */
export class VmListPoller {
  /** Emits each list that differs from the previous one. */
  readonly changes: most.Stream<readonly Vm[]>;

  private readonly options: VmListPollerOptions;

  private readonly emitter = new EventEmitter();

  private readonly stopController = new AbortController();

  private lastVms: readonly Vm[] = [];

  private lastReadAt: number | undefined;

  private pollTask: Promise<void> | undefined;

  constructor(options: VmListPollerOptions) {
    this.options = options;
    this.changes = most.fromEvent<readonly Vm[]>('machines', this.emitter).multicast();
  }

  /** The VMs of the last list that was read successfully. */
  get machines(): readonly Vm[] {
    return this.lastVms;
  }

  /** Milliseconds since the list was last read; undefined before the first successful read. */
  get ageMilliseconds(): number | undefined {
    return this.lastReadAt === undefined ? undefined : performance.now() - this.lastReadAt;
  }

  /** Starts polling. */
  start(): void {
    if (this.options.address !== undefined) {
      this.pollTask ??= this.poll(this.options.address);
    }
  }

  /** Stops polling and waits for the current poll to end. */
  async stop(): Promise<void> {
    this.stopController.abort();
    await this.pollTask;
  }

  private async poll(address: string): Promise<void> {
    const { signal } = this.stopController;
    const intervalMilliseconds = this.options.pollMilliseconds ?? DEFAULT_POLL_MILLISECONDS;
    while (!signal.aborted) {
      try {
        this.updateList(await this.fetchList(address));
      } catch (error) {
        if (!signal.aborted) {
          const failure = new FailureError('MachineListUnavailable', undefined, { cause: error });
          this.options.onFailure?.(failure);
        }
      }
      const waitMilliseconds = intervalMilliseconds * (1 - JITTER_SHARE * Math.random());
      await delay(waitMilliseconds, undefined, { signal }).catch(() => {});
    }
  }

  private async fetchList(address: string): Promise<readonly Vm[]> {
    return callWithTimeout(
      CALL_TIMEOUT_MILLISECONDS,
      this.stopController.signal,
      async (signal) => {
        const response = await rejectOnAbort(
          signal,
          undici.request(`http://${address}/machines`, { signal }),
        );
        if (response.statusCode !== HTTP_OK) {
          await response.body.dump();
          throw new Error(`the list of VMs returned status ${response.statusCode}`);
        }
        return vmListSchema.parse(await response.body.json()).machines;
      },
    );
  }

  private updateList(vms: readonly Vm[]): void {
    this.lastReadAt = performance.now();
    if (JSON.stringify(vms) !== JSON.stringify(this.lastVms)) {
      this.lastVms = vms;
      this.emitter.emit('machines', vms);
    }
  }
}
