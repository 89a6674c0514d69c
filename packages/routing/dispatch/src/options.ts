/**
 * Options of the dispatcher of one cell.
 */
import type { CrashGuard } from '@dogwoodstall/crash-guard';
import type { HealthChange } from '@dogwoodstall/health';
import type { BackendServer, Contract } from '@dogwoodstall/model';
import type { DispatchDecision } from './decision.js';

/** Calls a function once after a delay; returns a function that cancels the call. */
export type Schedule = (callback: () => void, milliseconds: number) => () => void;

/** Options of a `CellDispatcher`. */
export interface CellDispatcherOptions {
  readonly cellName: string;
  readonly servers: readonly BackendServer[];
  readonly contract: Contract;
  /** Weight of an organisation in the fair shares; 1 by default. */
  readonly findWeight?: (organisation: string) => number;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Random number from 0 to below 1. */
  readonly random: () => number;
  /** Timers of Node.js by default. */
  readonly schedule?: Schedule;
  /** Shared by the cells of a daemon; without it no request is refused as crashing. */
  readonly crashGuard?: CrashGuard | undefined;
  /** Receives each grant and refusal. */
  readonly logDecision?: (decision: DispatchDecision) => void;
  /** Receives each ejection and return. */
  readonly logHealth?: (change: HealthChange) => void;
}

/** Schedules with the timers of Node.js; a waiting timer keeps no process alive. */
export function scheduleTimer(callback: () => void, milliseconds: number): () => void {
  const timer = setTimeout(callback, milliseconds);
  timer.unref();
  return () => clearTimeout(timer);
}
