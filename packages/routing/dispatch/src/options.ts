/**
 * Options of the dispatcher of one cell.
 */
import type { CrashGuard } from '@dogwoodstall/crash-guard';
import type { HealthChange } from '@dogwoodstall/health';
import type { BackendServer, Contract } from '@dogwoodstall/model';
import type { DispatchDecision } from './decision.js';

/** Schedules a single call after a delay; returns a function that cancels it. */
export type Schedule = (callback: () => void, milliseconds: number) => () => void;

/** Options of a `CellDispatcher`. */
export interface CellDispatcherOptions {
  readonly cellName: string;
  readonly servers: readonly BackendServer[];
  readonly contract: Contract;
  /** Returns the weight of an organisation in the fair shares; 1 for all by default. */
  readonly findWeight?: (organisation: string) => number;
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** Uses the timers of Node.js by default. */
  readonly schedule?: Schedule;
  /** Shared by the cells of a daemon; if absent, no request is refused as crashing. */
  readonly crashGuard?: CrashGuard | undefined;
  /** Receives each grant and refusal. */
  readonly logDecision?: (decision: DispatchDecision) => void;
  /** Receives each health change of an endpoint. */
  readonly logHealth?: (change: HealthChange) => void;
}

/** Schedules with the timers of Node.js; a pending timer does not keep the process alive. */
export function scheduleTimer(callback: () => void, milliseconds: number): () => void {
  const timer = setTimeout(callback, milliseconds);
  timer.unref();
  return () => clearTimeout(timer);
}
