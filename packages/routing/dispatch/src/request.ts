/**
 * What the request path asks of a dispatcher, and what it gets.
 */
import type { Fingerprint } from '@dogwoodstall/crash-guard';
import type { AttemptOutcome } from '@dogwoodstall/health';
import type { BackendServer, SizeClass } from '@dogwoodstall/model';

/** A request that wants a slot of a backend server. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly service: string;
  readonly routeName: string;
  readonly organisation: string;
  readonly sizeClass: SizeClass;
  /** 0 is the most important. */
  readonly priority: number;
  /** Monotonic milliseconds of `performance.now()`. */
  readonly deadlineAt: number;
  /** Availability zone of the daemon that the caller reached. */
  readonly originZone: string;
  /** Names of backend servers that already failed this request. */
  readonly excludedEndpoints: ReadonlySet<string>;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
  /** Identifies the request when it is resent after it crashed a backend server. */
  readonly fingerprint?: Fingerprint | undefined;
}

/** A slot of a backend server, held until it is released. */
export interface SlotGrant {
  readonly endpoint: BackendServer;
  readonly queuedMilliseconds: number;
  /** Gives the slot back with the outcome of the attempt; a second call does nothing. */
  release(outcome: AttemptOutcome): void;
}
