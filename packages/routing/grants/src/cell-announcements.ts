/**
 * What the endpoints of one cell announce about themselves, as responses show it and as the dispatchers of the cell tell
 * each other.
 */
import { type Endpoint, noAnnouncement } from '@dogwoodstall/traffic';
import type { FleetAnnouncement } from './announced-state.js';
import type { Attempt, AttemptResult, EndpointState } from './endpoint-state.js';

/** A change of what an endpoint announces. */
export interface AnnouncementChange extends FleetAnnouncement {
  readonly endpoint: Endpoint;
  /** Whether a response to a request showed it, or another dispatcher of the cell reported it. */
  readonly origin: 'response' | 'dispatcher';
  /** The daemon that received the response, or the other dispatcher. */
  readonly source: string;
  /** What was in force before. */
  readonly previous: FleetAnnouncement;
}

/** What one process of an endpoint announces, as dispatchers tell each other. */
export interface RelayedAnnouncement extends FleetAnnouncement {
  readonly endpoint: string;
  readonly lifetime: number;
  /** Milliseconds since the evidence for the limit, or for its end if there is none. */
  readonly age: number;
}

/** Options of `CellAnnouncements`. */
export interface CellAnnouncementsOptions {
  readonly now: () => number;
  /** Called when an endpoint announces something else than before. */
  readonly onAnnouncement: (change: AnnouncementChange) => void;
}

/** Outcomes of attempts to which the endpoint itself has responded. */
const ANSWERED_OUTCOMES: ReadonlySet<AttemptResult['outcome']> = new Set([
  'success',
  'error',
  'shed',
]);

/** Time for which dispatchers tell each other that a limit has ended; longer than they are apart without a pong. */
const ENDED_MILLISECONDS = 10_000;

/** Applies announcements to the states of the endpoints. */
export class CellAnnouncements {
  constructor(
    private readonly states: ReadonlyMap<string, EndpointState>,
    private readonly options: CellAnnouncementsOptions,
  ) {}

  /** Lists what the endpoints announce, or recently ended to announce, for the other dispatchers of the cell. */
  list(): RelayedAnnouncement[] {
    const now = this.options.now();
    const announcements: RelayedAnnouncement[] = [];
    for (const { endpoint, announced } of this.states.values()) {
      const age = now - announced.evidenceAt;
      if (!announced.isEmpty || age < ENDED_MILLISECONDS) {
        announcements.push({
          endpoint: endpoint.id,
          lifetime: endpoint.lifetime,
          age,
          ...announced.current,
        });
      }
    }
    return announcements;
  }

  /**
   * Merges what another dispatcher that grants requests of the cell knows. What it does not list it may not know, so that
   * only newer evidence ends a limit.
   */
  import(announcements: readonly RelayedAnnouncement[], source: string): void {
    const now = this.options.now();
    for (const { endpoint: id, lifetime, age, ...stated } of announcements) {
      const state = this.states.get(id);
      if (state?.endpoint.lifetime === lifetime) {
        const previous = state.announced.current;
        const hasChanged = state.mergeAnnouncement(stated, now - age, now);
        this.notify(hasChanged, state, { origin: 'dispatcher', source, previous });
      }
    }
    for (const state of this.states.values()) {
      state.drainRateLimit(now);
    }
  }

  /** Records the response to an attempt of this daemon that another dispatcher granted. */
  learn(
    { endpoint, lifetime }: Pick<RelayedAnnouncement, 'endpoint' | 'lifetime'>,
    announcement: FleetAnnouncement,
    sentAt: number,
    source: string,
  ): void {
    const state = this.states.get(endpoint);
    if (state?.endpoint.lifetime === lifetime) {
      const now = this.options.now();
      this.apply(state, announcement, { origin: 'response', source, sentAt }, now);
    }
  }

  /** Applies what the response to an attempt announced, or no longer announced. */
  recordResult(
    state: EndpointState,
    { entry, startedAt }: Attempt,
    { announcement, outcome }: AttemptResult,
    now: number,
  ): void {
    if (announcement === null && !ANSWERED_OUTCOMES.has(outcome)) {
      return;
    }
    // An attempt without a response of the endpoint shows nothing about what it no longer announces.
    const sentAt = ANSWERED_OUTCOMES.has(outcome) ? startedAt : -Infinity;
    const stated = announcement ?? noAnnouncement;
    this.apply(state, stated, { origin: 'response', source: entry, sentAt }, now);
    if (stated.pauseMilliseconds > 0) {
      state.paths.pause(entry, now + stated.pauseMilliseconds, now);
    }
  }

  private apply(
    state: EndpointState,
    announcement: FleetAnnouncement,
    { sentAt, ...origin }: Pick<AnnouncementChange, 'origin' | 'source'> & { sentAt: number },
    now: number,
  ): void {
    const previous = state.announced.current;
    const hasChanged = state.applyAnnouncement(announcement, sentAt, now);
    this.notify(hasChanged, state, { ...origin, previous });
  }

  private notify(
    hasChanged: boolean,
    { announced, endpoint }: EndpointState,
    change: Pick<AnnouncementChange, 'origin' | 'source' | 'previous'>,
  ): void {
    if (hasChanged) {
      this.options.onAnnouncement({ endpoint, ...change, ...announced.current });
    }
  }
}
