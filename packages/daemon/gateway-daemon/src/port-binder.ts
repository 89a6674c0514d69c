/**
 * Binds the ports of a daemon that starts. A predecessor at the same address may hold them until it has ended, and the
 * address itself may come late.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as observability from '@dogwoodstall/observability';
import { FailureError } from '@dogwoodstall/results';

const RETRY_MILLISECONDS = 50;
/** Time for the kernel to release the ports of a predecessor that was killed at the end of its grace time. */
const RELEASE_MILLISECONDS = 500;
/** Errors that may pass without a change of the settings. */
const PASSING_ERRORS: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** The ports of a daemon, as named in its log and metrics. */
export type PortName = 'caller' | 'datagrams' | 'metrics' | 'peer' | 'readiness';

/** Options of `PortBinder`. */
export interface PortBinderOptions {
  /** Time that a predecessor may take to end. */
  readonly graceMilliseconds: number;
  /** Ends all waiting. */
  readonly signal: AbortSignal;
  readonly logger: observability.ComponentLogger;
}

function isPassing(error: unknown): error is FailureError {
  const cause = error instanceof FailureError ? error.cause : undefined;
  return cause instanceof Error && 'code' in cause && PASSING_ERRORS.has(cause.code);
}

/** Binds ports within a common time limit, which begins when the binder is created. */
export class PortBinder {
  private readonly waits = new Map<PortName, number>();

  private readonly deadline: number;

  constructor(private readonly options: PortBinderOptions) {
    this.deadline = performance.now() + options.graceMilliseconds + RELEASE_MILLISECONDS;
  }

  /** Milliseconds that were spent on each port that was in use. */
  get waitMilliseconds(): ReadonlyMap<PortName, number> {
    return this.waits;
  }

  /** Calls `listen` until it binds the port. Throws its `ListenFailed` when the time is up, and when aborted. */
  async bind(port: PortName, listen: () => Promise<unknown>): Promise<void> {
    const { logger, signal } = this.options;
    const startedAt = performance.now();
    const getElapsed = (): number => performance.now() - startedAt;
    for (let attempts = 1; ; attempts += 1) {
      try {
        await listen();
        if (attempts > 1) {
          this.waits.set(port, getElapsed());
          logger.info('port is bound', { port, attempts, milliseconds: Math.round(getElapsed()) });
        }
        return;
      } catch (error) {
        const remaining = this.deadline - performance.now();
        if (!isPassing(error) || remaining <= 0 || signal.aborted) {
          throw error;
        }
        this.waits.set(port, getElapsed());
        if (attempts === 1) {
          const limitMilliseconds = Math.round(remaining);
          logger.warn('port is in use', { port, reason: error.message, limitMilliseconds });
        }
        // An abort ends the pause; the attempt after it is the last one.
        await delay(RETRY_MILLISECONDS, undefined, { signal }).catch(() => undefined);
      }
    }
  }
}
