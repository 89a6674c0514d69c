/**
 * Which duties a daemon has at present: dispatching, following the store, and which part of the retry budget is its own.
 */
import type * as grants from '@dogwoodstall/grants';
import type { Candidates } from './candidates.js';
import type { Directory } from './directory.js';
import { type MemberTable, STORE_DUTY } from './member.js';
import type { GatewaySettings } from './settings.js';
import { STORE_NEWS_MILLISECONDS, type StoreNews } from './store-news.js';

/** A daemon that started just now does not dispatch, because it has no evidence about endpoints yet. */
const SETTLE_MILLISECONDS = 1500;
/** Without an answer of a dispatcher for this long after the start, there is none. */
const ALONE_MILLISECONDS = 450;
/** Without news from the store, further daemons ask it themselves, one after the other. */
const STORE_NEWS_STEP_MILLISECONDS = 1500;
/** Age that a daemon tells when its calls to the store fail: others then take over at once, one after the other. */
const LOST_AGE_MILLISECONDS = 100_000;
const LOST_STEP_MILLISECONDS = 400;
/** Daemons that read the whole state from the store when all start together. */
const READING_RANKS = 3;
/** Time for which a daemon that knows the others waits for their state; some round trips and a first reading. */
const PEER_STATE_MILLISECONDS = 500;
/** Time after the start at which a daemon that could not join reads the state itself. */
const UNJOINED_READ_MILLISECONDS = 1500;
/** Daemons that rank first for a cell use its whole retry budget; each other one a small part. */
const DISPATCHING_RANKS = 2;
const OTHER_BUDGET_SHARE = 0.3;

/** Options of `DispatchDuty`. */
export interface DispatchDutyOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  readonly news: StoreNews;
  readonly retries: () => GatewaySettings['retries'];
  readonly candidates: () => Candidates;
  /** Monotonic milliseconds at which this daemon learned of the others; undefined before. */
  readonly joinedAt: () => number | undefined;
  readonly isRoleActive: () => boolean;
  readonly lastStoreContactAt: () => number;
  /** Whether this daemon watches the store and gets no answer. */
  readonly isStoreLost: () => boolean;
}

/** The duties of one daemon. */
export class DispatchDuty {
  private readonly startedAt = performance.now();

  /** When each daemon that this one hears from had its last news of the store. */
  private readonly newsBySender = new Map<string, number>();

  private settled = false;

  constructor(private readonly options: DispatchDutyOptions) {}

  /** Notes how long ago another daemon had news from the store, as it tells now. */
  noteStoreNews(sender: string, ageMilliseconds: number): void {
    const reachedAt = performance.now() - ageMilliseconds;
    this.newsBySender.set(sender, reachedAt);
    if (ageMilliseconds < LOST_AGE_MILLISECONDS) {
      this.options.news.note(reachedAt);
    }
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

  /** Returns this daemon's part of a service's retry budget for one of its cells. */
  findRetryBudget(cell: grants.Cell): grants.RetryBudget {
    const { ratio, slack: fleetSlack, windowSeconds } = this.options.retries();
    const slack = fleetSlack / this.options.directory.listCellsOf(cell.service).length;
    const windowMilliseconds = windowSeconds * 1000;
    const first = this.options.members.rank(cell).slice(0, DISPATCHING_RANKS);
    if (first.some(({ name }) => name === this.options.members.self.name)) {
      return { ratio, slack, windowMilliseconds };
    }
    const others = Math.max(1, this.options.members.list().length);
    return { ratio, slack: (slack * OTHER_BUDGET_SHARE) / others, windowMilliseconds };
  }

  /** Whether this daemon follows the store. */
  isResponsibleForStore(): boolean {
    const atStart = this.followsStoreAtStart();
    if (atStart !== undefined) {
      return atStart;
    }
    if (this.options.candidates().isSelfFollowed(STORE_DUTY)) {
      return true;
    }
    const ranking = this.options.members.rank(STORE_DUTY);
    const position = ranking.findIndex(({ name }) => name === this.options.members.self.name);
    // The daemon's own contact does not count: it would end the watch that it comes from.
    const newsAge = performance.now() - this.othersNewsAt;
    return newsAge > LOST_AGE_MILLISECONDS
      ? newsAge > LOST_AGE_MILLISECONDS + position * LOST_STEP_MILLISECONDS
      : newsAge > STORE_NEWS_MILLISECONDS + position * STORE_NEWS_STEP_MILLISECONDS;
  }

  /**
   * Whether this daemon follows the store although it has just started; undefined when it has not. A whole reading is
   * many calls, so that the first daemons read and the others ask them, unless these are silent.
   */
  private followsStoreAtStart(): boolean | undefined {
    const now = performance.now();
    const isEmpty = !this.options.directory.isComplete;
    const joinedAt = this.options.joinedAt();
    if (joinedAt === undefined) {
      return isEmpty ? now - this.startedAt > UNJOINED_READ_MILLISECONDS : undefined;
    }
    if (now - joinedAt > PEER_STATE_MILLISECONDS) {
      return isEmpty || undefined;
    }
    const first = this.options.members.rank(STORE_DUTY).slice(0, READING_RANKS);
    return first.some(({ name }) => name === this.options.members.self.name);
  }

  /** Monotonic milliseconds of the last news of the daemons that follow the store, as far as they told. */
  private get othersNewsAt(): number {
    let newsAt: number | undefined;
    for (const name of this.options.candidates().listFollowed(STORE_DUTY)) {
      const toldAt = this.newsBySender.get(name);
      if (toldAt !== undefined) {
        newsAt = Math.max(toldAt, newsAt ?? toldAt);
      }
    }
    return newsAt ?? this.startedAt;
  }

  /** Milliseconds since this daemon or one that it hears from reached the store. */
  get storeAge(): number {
    const contactAt = this.options.lastStoreContactAt();
    if (this.options.isStoreLost()) {
      return LOST_AGE_MILLISECONDS + Math.min(performance.now() - contactAt, LOST_AGE_MILLISECONDS);
    }
    return performance.now() - Math.max(this.othersNewsAt, contactAt);
  }

  /** Whether this daemon dispatches a cell or would be the next to do so. */
  isDispatching(): boolean {
    return this.options.isRoleActive() || this.options.candidates().isSelfDispatching();
  }
}
