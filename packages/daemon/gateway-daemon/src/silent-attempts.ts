/**
 * Attempts of this daemon that got no response. An endpoint whose VM loses power closes no connection, so that its end
 * shows only later: it accepts no connections, its entry lapses, or it registers again with another lifetime.
 */
import type * as datagrams from '@dogwoodstall/datagrams';

/** An entry lapses, or an endpoint is back with another lifetime, within this time after the end of the attempt. */
const PENDING_MILLISECONDS = 10_000;
/** Maximum number of attempts that are followed; the oldest is forgotten first. */
const MAXIMUM_PENDING = 2048;

/** Maximum number of connections that are being tried; the other attempts are compared with the directory only. */
const MAXIMUM_TRIES = 4;

/** An attempt without a response, and the dispatcher that granted it. */
export interface SilentAttempt {
  readonly fingerprint: string;
  readonly endpoint: string;
  readonly lifetime: number;
  readonly address: string;
  readonly dispatcher: datagrams.PeerAddress;
}

/** Options of `SilentAttempts`. */
export interface SilentAttemptsOptions {
  /** Returns the lifetime under which an endpoint is listed; undefined if it is not. */
  readonly findLifetime: (endpoint: string) => number | undefined;
  /** Whether a process of an endpoint is draining, or was when it left. */
  readonly isLeaving: (endpoint: string, lifetime: number) => boolean;
  /** Resolves with whether an address accepts a connection, or with undefined if that could not be tried. */
  readonly connect: (address: string) => Promise<boolean | undefined>;
  /** Called once for each attempt whose endpoint has ended without having announced that it leaves. */
  readonly onEnded: (attempt: SilentAttempt) => void;
  /** Returns monotonic milliseconds. */
  readonly now: () => number;
}

/** Follows the endpoints of attempts without a response. */
export class SilentAttempts {
  /** Ends of the attempts that are followed, oldest first. */
  private readonly pending = new Map<SilentAttempt, number>();

  /** Addresses to which a connection is being tried. */
  private readonly tried = new Set<string>();

  constructor(private readonly options: SilentAttemptsOptions) {}

  /** Adds an attempt and checks whether its endpoint accepts connections, unless others are being checked. */
  async add(attempt: SilentAttempt): Promise<void> {
    this.pending.set(attempt, this.options.now());
    if (this.pending.size > MAXIMUM_PENDING) {
      this.pending.delete(this.pending.keys().next().value as SilentAttempt);
    }
    this.check();
    const { address } = attempt;
    const isTried = this.tried.has(address) || this.tried.size >= MAXIMUM_TRIES;
    if (!this.pending.has(attempt) || isTried) {
      return;
    }
    this.tried.add(address);
    try {
      if ((await this.options.connect(address)) === false) {
        this.endAt(address);
      }
    } finally {
      this.tried.delete(address);
    }
  }

  /** Compares the attempts with the endpoints that are listed; called after each change of the endpoints. */
  check(): void {
    const { findLifetime, isLeaving, now } = this.options;
    const oldest = now() - PENDING_MILLISECONDS;
    for (const [attempt, endedAt] of this.pending) {
      const { endpoint, lifetime } = attempt;
      if (endedAt < oldest || isLeaving(endpoint, lifetime)) {
        this.pending.delete(attempt);
      } else if (findLifetime(endpoint) !== lifetime) {
        this.end(attempt);
      }
    }
  }

  private endAt(address: string): void {
    for (const attempt of this.pending.keys()) {
      if (attempt.address === address) {
        this.end(attempt);
      }
    }
  }

  private end(attempt: SilentAttempt): void {
    if (this.pending.delete(attempt)) {
      this.options.onEnded(attempt);
    }
  }
}
