/**
 * Decides which roles a daemon currently has (dispatching, watching the store) and its share of the retry budgets.
 */
import * as grants from '@dogwoodstall/grants';
import type { Candidates } from './candidates.js';
import type { Directory } from './directory.js';
import { type MemberTable, STORE_WATCHER_ROLE } from './member.js';
import type { GatewaySettings } from './settings.js';
import { computeStartTimeout, findStartPlace } from './start-tree.js';
import {
  MAXIMUM_CONTACT_GAP_MILLISECONDS,
  type StoreContactTracker,
} from './store-contact-tracker.js';

/** Time after its start for which a daemon does not dispatch, because it has no data about the endpoints yet. */
const SETTLE_MILLISECONDS = 1500;
/** A daemon without contact with any dispatcher after this time assumes that there is none. */
const ALONE_MILLISECONDS = 450;
/** Without contact with the store, the daemons start to watch it one after the other, at this interval by rank. */
const TAKEOVER_STEP_MILLISECONDS = 1500;
/** Age that a daemon reports when its own calls to the store fail, so that others take over without the usual wait. */
const LOST_AGE_MILLISECONDS = 100_000;
/** Interval by rank at which they then start to watch the store. */
const LOST_TAKEOVER_STEP_MILLISECONDS = 400;
/** Time after its start at which a daemon that could not join reads the complete state itself. */
const UNJOINED_READ_MILLISECONDS = 1500;
/** Precedes a service in the name of the role by whose ranking the slack of its retry budget is divided. */
const RETRY_ROLE_PREFIX = '@retries/';

/** Share of announced limits that the standby uses while it grants requests beside the dispatcher of a cell. */
const STANDBY_LIMIT_SHARE = 0.25;
/** Share that all other daemons together use; with the two before it stays below the tolerance of one and a half. */
const OTHER_LIMIT_SHARE = 0.2;

/** Options of `RoleAssignment`. */
export interface RoleAssignmentOptions {
  readonly members: MemberTable;
  readonly directory: Directory;
  readonly storeContact: StoreContactTracker;
  readonly retries: () => GatewaySettings['retries'];
  readonly candidates: () => Candidates;
  /** Monotonic milliseconds at which this daemon read the members from the store; undefined before. */
  readonly joinedAt: () => number | undefined;
  readonly isRoleActive: () => boolean;
  readonly lastStoreContactAt: () => number;
  /** Whether this daemon's last call to the store failed. */
  readonly isStoreLost: () => boolean;
}

/** The current roles of one daemon. */
export class RoleAssignment {
  private readonly startedAt = performance.now();

  /** Start of the time in which this daemon does not dispatch yet. */
  private settlingSince = this.startedAt;

  /** Whether endpoints may have left while this daemon was suspended. */
  private verifying = false;

  /** Time of the last contact with the store, by the daemon that reported it. */
  private readonly contactBySender = new Map<string, number>();

  private settled = false;

  constructor(private readonly options: RoleAssignmentOptions) {}

  /** Records the age of the last contact with the store that another daemon reports. */
  recordStoreContact(sender: string, ageMilliseconds: number): void {
    const contactAt = performance.now() - ageMilliseconds;
    this.contactBySender.set(sender, contactAt);
    if (ageMilliseconds < LOST_AGE_MILLISECONDS) {
      this.options.storeContact.record(contactAt);
    } else {
      this.options.storeContact.recordFailure(performance.now());
    }
  }

  /**
   * Whether this daemon may dispatch. A daemon that has just started waits while another one dispatches, but not when no
   * other daemon does, for instance because all start together.
   */
  isSettled(): boolean {
    const elapsed = performance.now() - this.settlingSince;
    const isAlone = elapsed > ALONE_MILLISECONDS && !this.options.candidates().hasUsablePeer();
    if (this.options.directory.hasEndpoints && (isAlone || elapsed > SETTLE_MILLISECONDS)) {
      this.settled = true;
      this.verifying = false;
    }
    return this.settled;
  }

  /** Whether this daemon was suspended and has not verified its endpoints since. */
  get isVerifying(): boolean {
    return this.verifying && !this.isSettled();
  }

  /** Ends all dispatching after a suspension, until the endpoints are verified or no other daemon can verify them. */
  beginVerification(): void {
    this.verifying ||= this.settled;
    this.settled = false;
    this.settlingSince = performance.now();
  }

  /** Records that the endpoints are those of the store, or of a settled daemon, at a time after the suspension. */
  confirmEndpoints(): void {
    if (this.verifying) {
      this.settled = true;
      this.verifying = false;
    }
  }

  /** Returns this daemon's share of the retry budget of a service; the slack is divided by the ranking of the daemons. */
  computeRetryBudget(service: string): grants.RetryBudgetShare {
    const { members, retries } = this.options;
    const { ratio, slack, windowSeconds } = retries();
    const role = { name: `${RETRY_ROLE_PREFIX}${service}`, zone: undefined };
    return grants.computeRetryBudgetShare(
      { ratio, slack, windowMilliseconds: windowSeconds * 1000 },
      members.findSelfPosition(role),
      members.count,
    );
  }

  /**
   * Returns the share of announced limits that this daemon may use in a cell: all as its dispatcher, and little while it
   * grants requests although another daemon dispatches the cell.
   */
  computeLimitShare(cell: grants.Cell): number {
    const { members, candidates } = this.options;
    const [first, second] = candidates().listLeading(cell);
    if (first === members.self.name) {
      return 1;
    }
    return second === members.self.name
      ? STANDBY_LIMIT_SHARE
      : OTHER_LIMIT_SHARE / Math.max(1, members.list().length);
  }

  /** Whether this daemon has to watch the store. */
  isResponsibleForStore(): boolean {
    const responsibleAtStart = this.isResponsibleAtStart();
    if (responsibleAtStart !== undefined) {
      return responsibleAtStart;
    }
    if (this.options.candidates().isSelfLeading(STORE_WATCHER_ROLE)) {
      return true;
    }
    const position = this.options.members.findSelfPosition(STORE_WATCHER_ROLE);
    // This daemon's own contact does not count, because it would end the watch that produces it.
    const contactAge = performance.now() - this.othersContactAt;
    return contactAge > LOST_AGE_MILLISECONDS
      ? contactAge > LOST_AGE_MILLISECONDS + position * LOST_TAKEOVER_STEP_MILLISECONDS
      : contactAge > MAXIMUM_CONTACT_GAP_MILLISECONDS + position * TAKEOVER_STEP_MILLISECONDS;
  }

  /** Whether another daemon that ranks before this one is in contact with the store. */
  isStandbyForStore(): boolean {
    const [first] = this.options.candidates().listLeading(STORE_WATCHER_ROLE);
    if (first === undefined || first === this.options.members.self.name) {
      return false;
    }
    const contactAt = this.contactBySender.get(first) ?? -Infinity;
    return performance.now() - contactAt < MAXIMUM_CONTACT_GAP_MILLISECONDS;
  }

  /**
   * Whether this daemon has to watch the store while it starts; undefined when the general rules apply. A complete read
   * takes many calls, so only the first daemons of the ranking read and the others request the state from them, unless
   * they do not respond.
   */
  private isResponsibleAtStart(): boolean | undefined {
    const now = performance.now();
    const isEmpty = !this.options.directory.isComplete;
    const joinedAt = this.options.joinedAt();
    if (joinedAt === undefined) {
      return isEmpty ? now - this.startedAt > UNJOINED_READ_MILLISECONDS : undefined;
    }
    const { members } = this.options;
    const { level } = findStartPlace(members.rank(STORE_WATCHER_ROLE), members.self);
    if (now - joinedAt > computeStartTimeout(level)) {
      return isEmpty || undefined;
    }
    return level === 0;
  }

  /**
   * Monotonic milliseconds of the last contact with the store that its watchers reported; the start if none did. A
   * daemon that does not monitor the watchers uses what the dispatchers pass on.
   */
  private get othersContactAt(): number {
    const candidates = this.options.candidates();
    const senders = candidates.isMonitored(STORE_WATCHER_ROLE)
      ? candidates.listLeading(STORE_WATCHER_ROLE)
      : this.contactBySender.keys();
    let latestAt: number | undefined;
    for (const name of senders) {
      const contactAt = this.contactBySender.get(name);
      if (contactAt !== undefined) {
        latestAt = Math.max(contactAt, latestAt ?? contactAt);
      }
    }
    return latestAt ?? this.startedAt;
  }

  /** Milliseconds since the last contact of this daemon or a watcher with the store; very large after a failed call. */
  get storeAge(): number {
    const contactAt = this.options.lastStoreContactAt();
    if (this.options.isStoreLost()) {
      return LOST_AGE_MILLISECONDS + Math.min(performance.now() - contactAt, LOST_AGE_MILLISECONDS);
    }
    return performance.now() - Math.max(this.othersContactAt, contactAt);
  }

  /** Whether this daemon is the dispatcher or the standby of any cell. */
  isDispatcherOrStandby(): boolean {
    return this.options.isRoleActive() || this.options.candidates().isSelfDispatcherOrStandby();
  }
}
