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

/** Applies announcements to the states of the endpoints. */
export class CellAnnouncements {
  constructor(
    private readonly states: ReadonlyMap<string, EndpointState>,
    private readonly options: CellAnnouncementsOptions,
  ) {}

  /** Lists what the endpoints announce, for the other dispatchers of the cell. */
  list(): RelayedAnnouncement[] {
    const announcements: RelayedAnnouncement[] = [];
    for (const { endpoint, announced } of this.states.values()) {
      if (!announced.isEmpty) {
        announcements.push({
          endpoint: endpoint.id,
          lifetime: endpoint.lifetime,
          ...announced.current,
        });
      }
    }
    return announcements;
  }

  /** Applies what another dispatcher, the active one of the cell, knows; what it does not list has ended. */
  import(announcements: readonly RelayedAnnouncement[], source: string): void {
    const now = this.options.now();
    const byEndpoint = new Map(announcements.map((entry) => [entry.endpoint, entry]));
    for (const [id, state] of this.states) {
      const relayed = byEndpoint.get(id);
      const isSame = relayed?.lifetime === state.endpoint.lifetime;
      const stated = isSame ? relayed : noAnnouncement;
      this.apply(state, stated, { origin: 'dispatcher', source, sentAt: now }, now);
      state.drainRateLimit(now);
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
    const { announced, endpoint } = state;
    const previous = announced.current;
    if (state.applyAnnouncement(announcement, sentAt, now)) {
      this.options.onAnnouncement({ endpoint, ...origin, ...announced.current, previous });
    }
  }
}
