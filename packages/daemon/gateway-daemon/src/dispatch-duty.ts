/**
 * Which duties a daemon has at present: dispatching, following the store, and which part of the retry budget is its own.
 */
import type * as grants from '@dogwoodstall/grants';
import type { Candidates } from './candidates.js';
import type { Directory } from './directory.js';
import type { MemberTable } from './member.js';
import type { GatewaySettings } from './settings.js';

/** A daemon that started just now does not dispatch, because it has no evidence about endpoints yet. */
const SETTLE_MILLISECONDS = 1500;
/** Without an answer of a dispatcher for this long after the start, there is none. */
const ALONE_MILLISECONDS = 450;
/**
 * Without news from the store for this long, further daemons ask it themselves, one after the other. Longer than the
 * longest time between two answers of a store in which nothing changes.
 */
const STORE_NEWS_MILLISECONDS = 1800;
const STORE_NEWS_STEP_MILLISECONDS = 1500;
const STORE_RANKING = 'store';
/** Daemons that rank first for a service use its whole retry budget; each other one a small part. */
const DISPATCHING_RANKS = 2;
const OTHER_BUDGET_SHARE = 0.3;

/** Options of `DispatchDuty`. */
export interface DispatchDutyOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  readonly retries: GatewaySettings['retries'];
  readonly candidates: () => Candidates;
  readonly isRoleActive: () => boolean;
  readonly lastStoreContactAt: () => number;
}

/** The duties of one daemon. */
export class DispatchDuty {
  private readonly startedAt = performance.now();

  private storeNewsAt = performance.now();

  private settled = false;

  constructor(private readonly options: DispatchDutyOptions) {}

  /** Notes how long ago another daemon had news from the store. */
  noteStoreNews(ageMilliseconds: number): void {
    this.storeNewsAt = Math.max(this.storeNewsAt, performance.now() - ageMilliseconds);
  }

  /**
   * Whether this daemon may dispatch. While another one does, a daemon that started just now leaves the work to it; when
   * all start together, somebody has to begin.
   */
  isSettled(): boolean {
    const elapsed = performance.now() - this.startedAt;
    const alone = elapsed > ALONE_MILLISECONDS && !this.options.candidates().hasContact();
    if (this.options.directory.hasEndpoints && (alone || elapsed > SETTLE_MILLISECONDS)) {
      this.settled = true;
    }
    return this.settled;
  }

  /** Returns this daemon's part of the retry budget for a service. */
  findRetryBudget(service: string): grants.RetryBudget {
    const { ratio, slack, windowSeconds } = this.options.retries;
    const windowMilliseconds = windowSeconds * 1000;
    const first = this.options.members.rank(service).slice(0, DISPATCHING_RANKS);
    if (first.some(({ name }) => name === this.options.members.self.name)) {
      return { ratio, slack, windowMilliseconds };
    }
    const others = Math.max(1, this.options.members.list().length);
    return { ratio, slack: (slack * OTHER_BUDGET_SHARE) / others, windowMilliseconds };
  }

  /** Whether this daemon follows the store. */
  isResponsibleForStore(): boolean {
    if (!this.options.directory.hasEndpoints || this.options.directory.routes === undefined) {
      return true;
    }
    if (this.options.candidates().isSelfFirst() || this.options.isRoleActive()) {
      return true;
    }
    const ranking = this.options.members.rank(STORE_RANKING);
    const position = ranking.findIndex(({ name }) => name === this.options.members.self.name);
    const patience = STORE_NEWS_MILLISECONDS + position * STORE_NEWS_STEP_MILLISECONDS;
    // The daemon's own contact does not count: it would end the watch that it comes from.
    return performance.now() - this.storeNewsAt > patience;
  }

  /** Milliseconds since this daemon or one that it hears from reached the store. */
  get storeAge(): number {
    return performance.now() - Math.max(this.storeNewsAt, this.options.lastStoreContactAt());
  }

  /** Whether this daemon dispatches a service or would be the next to do so. */
  isDispatching(): boolean {
    if (this.options.isRoleActive()) {
      return true;
    }
    for (const service of this.options.directory.listServices()) {
      if (this.options.candidates().isSelfStandby(service)) {
        return true;
      }
    }
    return false;
  }
}
