/**
 * The configuration and the endpoints that a daemon knows, with their position in the store. Versions never decrease, and
 * positions neither: in a new era of the store its revisions may be lower.
 */
import {
  type Endpoint,
  RouteIndex,
  type TrafficConfiguration,
  endpointSchema,
  trafficConfigurationSchema,
} from '@dogwoodstall/traffic';
import * as z from 'zod';
import { CellIndex } from './cell-index.js';
import { EndpointHistory } from './endpoint-history.js';
import { memberSchema } from './member.js';
import { REREGISTRATION_MILLISECONDS } from './store-contact-tracker.js';
import { type StorePosition, isLater } from './store-position.js';
import { UnconfirmedEndpoints, isSameEndpoint, mayBeOutdated } from './unconfirmed-endpoints.js';

function selectEndpoints(entries: readonly unknown[]): Endpoint[] {
  return entries.flatMap((entry) => endpointSchema.safeParse(entry).data ?? []);
}

const storedEndpointsSchema = z.array(z.unknown()).transform(selectEndpoints);

const MAXIMUM_DRAINED = 4096;

/** Response to a daemon that requests the state of another one. */
export const stateSchema = z.object({
  configuration: trafficConfigurationSchema.optional(),
  /** Absent when the requesting daemon already has this revision. Older daemons may list entries that are invalid. */
  endpoints: storedEndpointsSchema.optional(),
  /** The changes since the revision of the requesting daemon, instead of all endpoints. Older daemons send none. */
  changes: z.object({ puts: storedEndpointsSchema, removed: z.array(z.string()) }).optional(),
  directoryRevision: z.number(),
  /** Absent from older daemons. */
  directoryEra: z.number().int().optional(),
  /** Ids of the listed endpoints that are not in use yet, because their entries may be outdated. */
  unconfirmed: z.array(z.string()).optional(),
  /** Absent when the requesting daemon knows the same members. */
  members: z.array(memberSchema).optional(),
});

export type State = z.infer<typeof stateSchema>;

/** Options of `Directory`. */
export interface DirectoryOptions {
  readonly onConfiguration: (configuration: TrafficConfiguration, source: string) => void;
  readonly onEndpoints: (source: string) => void;
  /** Called when the store has lost changes since the endpoints were read. */
  readonly onNewEra?: (era: number) => void;
  /**
   * Returns the monotonic milliseconds until which an endpoint that the store no longer lists is kept, because its entry
   * may have expired during an outage. Each daemon decides this by itself and tells no other one of such endpoints.
   */
  readonly toleranceEndsAt?: () => number;
}

/** The known configuration and endpoints. */
export class Directory {
  /** The cells of each service, from the endpoints that may be used. */
  readonly cells = new CellIndex();

  private routeIndex: RouteIndex | undefined;

  private readonly endpoints = new Map<string, Endpoint>();

  /** Times at which endpoints are removed that the store no longer lists, by id. */
  private readonly lapsed = new Map<string, number>();

  private lapseTimer: NodeJS.Timeout | undefined;

  /** Endpoints that were draining when they were removed, oldest first, by id. */
  private readonly drained = new Map<string, Endpoint>();

  private latest: StorePosition = { era: 0, revision: 0 };

  /** Time until which an endpoint may have been listed by the changes that the store lost. */
  private eraToleranceEndsAt = -Infinity;

  private readonly unconfirmed = new UnconfirmedEndpoints((endpoints) => this.confirm(endpoints));

  /** The revisions of the last changes. */
  readonly history = new EndpointHistory();

  /** Called once the configuration and the endpoints are known. */
  private readonly completionCallbacks = new Set<() => void>();

  constructor(private readonly options: DirectoryOptions) {}

  get routes(): RouteIndex | undefined {
    return this.routeIndex;
  }

  get configurationVersion(): number {
    return this.routeIndex?.configuration.version ?? 0;
  }

  /** Position of the store at the last change of an endpoint; `listStored` is complete up to it. */
  get position(): StorePosition {
    return this.latest;
  }

  /** Whether the endpoints have been read; there may be none. */
  get hasEndpoints(): boolean {
    return this.latest.revision > 0;
  }

  /** Whether both the configuration and the endpoints are known. */
  get isComplete(): boolean {
    return this.routeIndex !== undefined && this.hasEndpoints;
  }

  /**
   * Resolves when the configuration and the endpoints are known or the signal is aborted, or after the given time at the
   * latest.
   */
  async waitUntilComplete(milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (this.isComplete || signal?.aborted === true) {
      return;
    }
    await new Promise<void>((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const settle = (): void => {
        clearTimeout(timer);
        this.completionCallbacks.delete(settle);
        signal?.removeEventListener('abort', settle);
        resolve();
      };
      timer = setTimeout(settle, milliseconds);
      this.completionCallbacks.add(settle);
      signal?.addEventListener('abort', settle, { once: true });
    });
  }

  private notifyCompletion(): void {
    if (this.isComplete) {
      for (const settle of this.completionCallbacks) {
        settle();
      }
    }
  }

  /** Stops the timers of lapsed and unconfirmed endpoints. */
  close(): void {
    clearTimeout(this.lapseTimer);
    this.unconfirmed.clear();
  }

  /** Lists the endpoints that may be used. */
  listAll(): Endpoint[] {
    return [...this.endpoints.values()];
  }

  /** Returns the lifetime of the endpoint with the given id; undefined if there is none. */
  findLifetime(id: string): number | undefined {
    return this.endpoints.get(id)?.lifetime;
  }

  /** Whether a process of an endpoint is known to be draining, or was until its removal. */
  isLeaving(id: string, lifetime: number): boolean {
    const known = this.endpoints.get(id) ?? this.drained.get(id);
    return known !== undefined && known.draining && known.lifetime === lifetime;
  }

  /** Lists the endpoints that the store lists at the current position. */
  listStored(): Endpoint[] {
    const isStored = ({ id }: Endpoint): boolean =>
      !this.lapsed.has(id) && !this.unconfirmed.has(id);
    return [...this.listAll().filter(isStored), ...this.unconfirmed.list()];
  }

  /** Lists the ids of stored endpoints whose entries are not in effect yet. */
  listUnconfirmed(): string[] {
    return this.unconfirmed.list().map(({ id }) => id);
  }

  /** Activates a configuration unless the active one has the same or a later version. */
  activateConfiguration(configuration: TrafficConfiguration, source: string): void {
    if (configuration.version > this.configurationVersion) {
      this.routeIndex = new RouteIndex(configuration);
      this.rebuildCells();
      this.options.onConfiguration(configuration, source);
      this.notifyCompletion();
    }
  }

  /**
   * Replaces all endpoints by those read at a position; an earlier or equal one is ignored. The given unconfirmed ones are
   * of a daemon that knew more of them.
   */
  replaceEndpoints(
    endpoints: readonly Endpoint[],
    position: StorePosition,
    source: string,
    unconfirmed: readonly string[] = [],
  ): void {
    if (!isLater(position, this.latest)) {
      return;
    }
    const isNewEra = this.beginEra(position.era);
    const ids = new Set(endpoints.map(({ id }) => id));
    if (isNewEra || !this.hasEndpoints) {
      this.history.begin(position.revision);
    }
    const doubtful = new Set(isNewEra ? ids : unconfirmed);
    const isOutdated = (endpoint: Endpoint): boolean =>
      this.unconfirmed.holds(endpoint) ||
      (doubtful.has(endpoint.id) && mayBeOutdated(endpoint, this.endpoints.get(endpoint.id)));
    const known = [...this.endpoints.keys(), ...this.listUnconfirmed()];
    const removed = known.filter((id) => !ids.has(id));
    const outdated = endpoints.filter(isOutdated);
    const changed = this.applyChanges(
      endpoints.filter((endpoint) => !outdated.includes(endpoint)),
      removed,
      position.revision,
    );
    for (const endpoint of outdated) {
      this.lapsed.delete(endpoint.id);
      this.unconfirmed.add(endpoint);
    }
    this.history.record(outdated, [], position.revision);
    this.finishChange(changed || isNewEra || !this.hasEndpoints, position, source);
    if (isNewEra) {
      this.options.onNewEra?.(position.era);
    }
  }

  /** Returns whether the endpoints were read in an earlier era of the store. */
  private beginEra(era: number): boolean {
    if (!this.hasEndpoints || era === this.latest.era) {
      return false;
    }
    this.eraToleranceEndsAt = performance.now() + REREGISTRATION_MILLISECONDS;
    this.unconfirmed.clear();
    return true;
  }

  /** Moves on to the position of another daemon with the same endpoints, so that they are not fetched again. */
  adoptPosition(position: StorePosition): void {
    if (position.era === this.latest.era && isLater(position, this.latest)) {
      this.latest = position;
    }
  }

  /** Lists the changes after a position; undefined if not all of them are known. */
  listChangesSince({ era, revision }: StorePosition): State['changes'] {
    const ids = era === this.latest.era ? this.history.listSince(revision) : undefined;
    if (ids === undefined) {
      return undefined;
    }
    const puts = this.listStored().filter(({ id }) => ids.has(id));
    const listed = new Set(puts.map(({ id }) => id));
    return { puts, removed: [...ids].filter((id) => !listed.has(id)) };
  }

  private applyChanges(
    puts: readonly Endpoint[],
    removed: readonly string[],
    revision: number,
  ): boolean {
    const changedPuts = puts.filter((endpoint) => this.put(endpoint));
    const removedIds = removed.filter((id) => this.remove(id));
    this.history.record(changedPuts, removedIds, revision);
    return changedPuts.length + removedIds.length > 0;
  }

  /**
   * Applies the changes that the store reported up to a position. Changes up to an earlier position than that of the
   * endpoints are ignored, because later ones may be known, and those of a later era, because others may be lost; returns
   * whether they were applied.
   */
  changeEndpoints(
    puts: readonly Endpoint[],
    removed: readonly string[],
    position: StorePosition,
    source: string,
  ): boolean {
    if (position.era !== this.latest.era || position.revision < this.latest.revision) {
      return false;
    }
    const changed = this.applyChanges(puts, removed, position.revision);
    this.finishChange(changed, position, source);
    return true;
  }

  /** Puts entries into effect that were not written again in time. */
  private confirm(endpoints: readonly Endpoint[]): void {
    for (const endpoint of endpoints) {
      this.put(endpoint);
    }
    // The position stays, because the store's list has not changed.
    this.finishChange(true, this.latest, 'entries not written again');
  }

  /** Returns whether the endpoint was not listed like this before. */
  private put(endpoint: Endpoint): boolean {
    const wasHeld = this.unconfirmed.has(endpoint.id);
    this.unconfirmed.delete(endpoint.id);
    const wasLapsed = this.lapsed.delete(endpoint.id);
    const known = this.endpoints.get(endpoint.id);
    if (known !== undefined && isSameEndpoint(known, endpoint)) {
      return wasLapsed || wasHeld;
    }
    this.endpoints.set(endpoint.id, endpoint);
    this.drained.delete(endpoint.id);
    return true;
  }

  /** Removes an endpoint, at once or when its entry can no longer return; returns whether it was listed before. */
  private remove(id: string): boolean {
    const wasHeld = this.unconfirmed.has(id);
    this.unconfirmed.delete(id);
    if (!this.endpoints.has(id) || this.lapsed.has(id)) {
      return wasHeld;
    }
    const toleranceEndsAt = Math.max(
      this.options.toleranceEndsAt?.() ?? -Infinity,
      this.eraToleranceEndsAt,
    );
    if (performance.now() < toleranceEndsAt) {
      this.lapsed.set(id, toleranceEndsAt);
      this.scheduleRemoval();
    } else {
      this.delete(id);
    }
    return true;
  }

  private delete(id: string): void {
    const endpoint = this.endpoints.get(id);
    this.endpoints.delete(id);
    if (endpoint?.draining === true) {
      this.drained.set(id, endpoint);
    }
    if (this.drained.size > MAXIMUM_DRAINED) {
      this.drained.delete(this.drained.keys().next().value as string);
    }
  }

  private scheduleRemoval(): void {
    clearTimeout(this.lapseTimer);
    if (this.lapsed.size > 0) {
      const nextAt = Math.min(...this.lapsed.values());
      this.lapseTimer = setTimeout(() => this.removeLapsed(), nextAt - performance.now());
    }
  }

  private removeLapsed(): void {
    const now = performance.now();
    for (const [id, removeAt] of this.lapsed) {
      if (now >= removeAt) {
        this.lapsed.delete(id);
        this.delete(id);
      }
    }
    this.scheduleRemoval();
    // The position stays, because the store's list has not changed.
    this.finishChange(true, this.latest, 'outage tolerance');
  }

  private finishChange(changed: boolean, position: StorePosition, source: string): void {
    if (!changed) {
      return;
    }
    this.latest = position;
    this.rebuildCells();
    this.options.onEndpoints(source);
    this.notifyCompletion();
  }

  private rebuildCells(): void {
    this.cells.rebuild(this.routeIndex?.services ?? [], this.endpoints.values());
  }
}
