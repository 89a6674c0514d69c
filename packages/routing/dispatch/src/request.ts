/**
 * The request for a slot that the request path makes to a dispatcher, and the granted slot.
 */
import type { Fingerprint } from '@dogwoodstall/crash-guard';
import type { AttemptOutcome } from '@dogwoodstall/health';
import type { BackendServer, SizeClass } from '@dogwoodstall/model';

/** A request that needs a slot at a backend server. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly service: string;
  readonly routeName: string;
  readonly organisation: string;
  readonly sizeClass: SizeClass;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Monotonic time in milliseconds, as returned by `performance.now()`. */
  readonly deadlineAt: number;
  /** Availability zone of the daemon that received the request from the caller. */
  readonly originZone: string;
  /** Names of backend servers at which this request has already failed. */
  readonly excludedEndpoints: ReadonlySet<string>;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Recognises a request that is resent after it crashed a backend server. */
  readonly fingerprint?: Fingerprint | undefined;
}

/** A slot of a backend server, held until it is released. */
export interface SlotGrant {
  readonly endpoint: BackendServer;
  readonly queuedMilliseconds: number;
  /** Releases the slot and reports the outcome of the attempt; further calls have no effect. */
  release(outcome: AttemptOutcome): void;
}
