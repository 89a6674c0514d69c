/**
 * Server side of slot requests: grants the slots of the cells that this daemon dispatches.
 */
import type * as datagrams from '@dogwoodstall/datagrams';
import * as grants from '@dogwoodstall/grants';
import { type Announcement, noAnnouncement } from '@dogwoodstall/traffic';
import { decodeAnnouncements, encodeAnnouncements } from './announcement-report.js';
import type { Directory } from './directory.js';

/** Response to a slot request. */
export type SlotResponse = Extract<
  datagrams.Message,
  readonly ['grant' | 'refuse' | 'queued', unknown]
>;

/** The suspected endpoints of a cell and what endpoints announce, which a dispatcher reports to its standby. */
export type CellReport = datagrams.Pong['cells'][number];

/** Options of `DispatcherRole`. */
export interface DispatcherRoleOptions {
  /** Name of this daemon, which identifies its own slot requests. */
  readonly self: string;
  readonly directory: Directory;
  /** Records of crashing requests, shared with the entry. */
  readonly crashRecords: grants.CrashRecords;
  /** Returns the share of announced limits that this daemon may use in a cell. */
  readonly limitShare: (cell: string) => number;
  /** Whether the endpoints may have left while this daemon was suspended. */
  readonly isVerifying: () => boolean;
  readonly onDecision: (
    cell: string,
    request: grants.SlotRequest,
    decision: grants.Decision,
  ) => void;
  /** Called each second with the endpoints of a cell that get no requests while a part of the requests fails. */
  readonly onUnused: (cell: string, endpoints: readonly grants.UnusedEndpoint[]) => void;
  readonly onAnnouncement: (cell: string, change: grants.AnnouncementChange) => void;
}

/** Time for which responses are cached, to be repeated when a slot request is sent again. */
const RESPONSE_CACHE_MILLISECONDS = 5000;
/** Interval at which queued requests are checked; the timer does not run while none is queued. */
const QUEUE_CHECK_MILLISECONDS = 20;
const CLEANUP_MILLISECONDS = 1000;
/** Delay after which the caller may retry when this daemon does not know the cell yet. */
const UNKNOWN_CELL_RETRY_MILLISECONDS = 250;
/** Load in percent that is reported for such a cell, so that no requests are redirected to it. */
const UNKNOWN_CELL_LOAD = 200;
/** Time since its last slot request for which a daemon counts as an active dispatcher. */
const ACTIVE_MILLISECONDS = 3000;
/** The grant ids of a process start at a random multiple of this step. */
const GRANT_ID_STEP = 1_000_000;
const GRANT_ID_RANGE = 4000;
const PERCENT = 100;

/** A response of an endpoint to a request of this daemon. */
export interface OwnResponse {
  readonly endpoint: string;
  readonly lifetime: number;
  readonly announcement: Announcement | null;
  /** Milliseconds since the request was sent. */
  readonly elapsed: number;
}

/** A slot request with its current response. */
interface CachedResponse {
  readonly cell: string;
  readonly createdAt: number;
  response: SlotResponse;
  respond: (response: SlotResponse) => void;
}

/** Handles the slot requests of all cells that this daemon dispatches. */
export class DispatcherRole {
  private readonly cells = new Map<string, grants.CellDispatcher>();

  private readonly cellByGrant = new Map<number, grants.CellDispatcher>();

  /** Cached responses by entry and request id, oldest first. */
  private readonly responses = new Map<string, CachedResponse>();

  private cleanupTimer: NodeJS.Timeout | undefined;

  private queueTimer: NodeJS.Timeout | undefined;

  private lastGrantId = 0;

  private lastAskAt = -Infinity;

  private readonly lastAskByCell = new Map<string, number>();

  private isStopping = false;

  constructor(private readonly options: DispatcherRoleOptions) {
    // Reports on grants of an earlier process at the same address must not match grants of this one.
    this.lastGrantId = Math.floor(Math.random() * GRANT_ID_RANGE) * GRANT_ID_STEP;
  }

  /** Whether this daemon received a slot request recently. */
  get isActive(): boolean {
    return performance.now() - this.lastAskAt < ACTIVE_MILLISECONDS;
  }

  get stopping(): boolean {
    return this.isStopping;
  }

  /** Refuses slot requests of other daemons from now on, so that they fail over to the next dispatcher. */
  beginStop(): void {
    this.isStopping = true;
    for (const dispatcher of this.cells.values()) {
      dispatcher.stop();
    }
  }

  /** Ends what was queued or decided before a suspension, since the endpoints may have left meanwhile. */
  resume(): void {
    for (const dispatcher of this.cells.values()) {
      dispatcher.stop();
    }
    this.responses.clear();
  }

  start(): void {
    this.cleanupTimer = setInterval(() => this.cleanUp(), CLEANUP_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.cleanupTimer);
    clearTimeout(this.queueTimer);
  }

  /** Handles a slot request; `respond` is called at once and, after `queued`, again with the decision. */
  ask(entry: string, ask: datagrams.Ask, respond: (response: SlotResponse) => void): void {
    const { directory } = this.options;
    if (!directory.cells.has(ask.cell) && directory.cells.listEndpoints(ask.cell).length === 0) {
      const retryAfter = UNKNOWN_CELL_RETRY_MILLISECONDS;
      respond([
        'refuse',
        { askId: ask.askId, reason: 'no-endpoint', retryAfter, load: UNKNOWN_CELL_LOAD },
      ]);
      return;
    }
    this.lastAskAt = performance.now();
    this.lastAskByCell.set(ask.cell, this.lastAskAt);
    const key = `${entry}/${ask.askId}`;
    const known = this.responses.get(key);
    if (known !== undefined) {
      known.respond = respond;
      respond(known.response);
      return;
    }
    // The daemon still serves its own requests then, because there may be no other daemon that responds.
    const sendsToOthers = this.isStopping || this.options.isVerifying();
    if (sendsToOthers && entry !== this.options.self) {
      respond(['refuse', { askId: ask.askId, reason: 'stopping', retryAfter: 0, load: 0 }]);
      return;
    }
    const cached: CachedResponse = {
      cell: ask.cell,
      createdAt: performance.now(),
      response: ['queued', ask.askId],
      respond,
    };
    this.responses.set(key, cached);
    const isQueued = this.getOrCreate(ask.cell).ask({
      key,
      entry,
      zone: ask.zone,
      route: ask.route,
      idempotent: ask.idempotent,
      priority: ask.priority,
      organisation: ask.organisation,
      remaining: ask.remaining,
      target: ask.target,
      repeated: ask.repeated,
      mayProbe: ask.mayProbe,
      waitedElsewhere: ask.waitedElsewhere,
      kilobytes: ask.kilobytes,
      fingerprint: ask.fingerprint,
      excluded: new Set(ask.excluded),
      maximumLoad: ask.maximumLoad === null ? undefined : ask.maximumLoad / PERCENT,
    });
    if (isQueued) {
      this.scheduleTick();
      respond(cached.response);
    }
  }

  withdraw(entry: string, askId: number): void {
    const key = `${entry}/${askId}`;
    const known = this.responses.get(key);
    if (known !== undefined) {
      this.cells.get(known.cell)?.withdraw(key);
    }
  }

  report(report: datagrams.Report): void {
    const cell = this.cellByGrant.get(report.grantId);
    this.cellByGrant.delete(report.grantId);
    cell?.report(report.grantId, report);
  }

  /** Applies a change of the directory. */
  updateEndpoints(): void {
    for (const [cell, dispatcher] of this.cells) {
      dispatcher.updateEndpoints(this.options.directory.cells.listEndpoints(cell));
    }
  }

  /** Reports on the endpoints of the cells that this daemon currently dispatches. */
  listCellReports(): CellReport[] {
    const cells: CellReport[] = [];
    for (const [name, dispatcher] of this.cells) {
      if (this.isActiveFor(name)) {
        const announced = encodeAnnouncements(dispatcher.announcements.list());
        cells.push({ name, suspects: dispatcher.listSuspects(), ...announced });
      }
    }
    return cells;
  }

  /** Imports what an active dispatcher reports, for cells that this daemon does not dispatch. */
  importCellReports(cells: readonly CellReport[], source: string): void {
    for (const { name, suspects, ...announced } of cells) {
      if (this.options.directory.cells.has(name) && !this.isActiveFor(name)) {
        const dispatcher = this.getOrCreate(name);
        dispatcher.importSuspects(new Set(suspects));
        if (announced.announcements !== undefined) {
          dispatcher.announcements.import(decodeAnnouncements(announced), source);
        }
      }
    }
  }

  /** Records what an endpoint announced to this daemon although another one granted the request. */
  learn(cell: string, { endpoint, lifetime, announcement, elapsed }: OwnResponse): void {
    const isKnown = this.cells.has(cell) || announcement?.requestsPerSecond != null;
    if (isKnown && this.options.directory.cells.has(cell)) {
      const stated = announcement ?? noAnnouncement;
      const sentAt = performance.now() - elapsed;
      const process = { endpoint, lifetime };
      this.getOrCreate(cell).announcements.learn(process, stated, sentAt, this.options.self);
    }
  }

  private isActiveFor(cell: string): boolean {
    const lastAskAt = this.lastAskByCell.get(cell) ?? -Infinity;
    return performance.now() - lastAskAt < ACTIVE_MILLISECONDS;
  }

  private getOrCreate(cell: string): grants.CellDispatcher {
    let dispatcher = this.cells.get(cell);
    if (dispatcher === undefined) {
      dispatcher = new grants.CellDispatcher({
        now: () => performance.now(),
        crashRecords: this.options.crashRecords,
        limitShare: () => this.options.limitShare(cell),
        nextGrantId: () => {
          this.lastGrantId += 1;
          return this.lastGrantId;
        },
        decide: (request, decision) => this.sendDecision(cell, request, decision),
        onAnnouncement: (change) => this.options.onAnnouncement(cell, change),
      });
      dispatcher.updateEndpoints(this.options.directory.cells.listEndpoints(cell));
      this.cells.set(cell, dispatcher);
    }
    return dispatcher;
  }

  private sendDecision(cell: string, request: grants.SlotRequest, decision: grants.Decision): void {
    this.options.onDecision(cell, request, decision);
    const cached = this.responses.get(request.key);
    if (cached === undefined) {
      return;
    }
    const dispatcher = this.getOrCreate(cell);
    const load = Math.round(dispatcher.load * PERCENT);
    const askId = Number(request.key.slice(request.key.lastIndexOf('/') + 1));
    if (decision.kind === 'grant') {
      this.cellByGrant.set(decision.grantId, dispatcher);
      const { grantId, endpoint, hedgeAfter, reuseWithin } = decision;
      cached.response = [
        'grant',
        {
          askId,
          grantId,
          endpoint: endpoint.id,
          address: endpoint.address,
          hedgeAfter: Math.round(hedgeAfter),
          reuseWithin: Math.round(reuseWithin),
          load,
          lifetime: endpoint.lifetime,
        },
      ];
    } else {
      const { reason, retryAfter } = decision;
      cached.response = ['refuse', { askId, reason, retryAfter: Math.round(retryAfter), load }];
    }
    cached.respond(cached.response);
  }

  private scheduleTick(): void {
    this.queueTimer ??= setTimeout(() => {
      this.queueTimer = undefined;
      this.tick();
    }, QUEUE_CHECK_MILLISECONDS);
  }

  private tick(): void {
    for (const dispatcher of this.cells.values()) {
      dispatcher.tick();
      if (dispatcher.hasWaitingRequests) {
        this.scheduleTick();
      }
    }
  }

  private cleanUp(): void {
    this.tick();
    const oldest = performance.now() - RESPONSE_CACHE_MILLISECONDS;
    for (const [key, { createdAt }] of this.responses) {
      if (createdAt > oldest) {
        break;
      }
      this.responses.delete(key);
    }
    for (const [grantId, cell] of this.cellByGrant) {
      if (!cell.hasGrant(grantId)) {
        this.cellByGrant.delete(grantId);
      }
    }
    this.removeFormerCells();
    this.reportUnused();
  }

  private reportUnused(): void {
    for (const [cell, dispatcher] of this.cells) {
      const unused = this.isActiveFor(cell) ? dispatcher.listUnused() : [];
      if (unused.length > 0) {
        this.options.onUnused(cell, unused);
      }
    }
  }

  /** Removes the cells into which the services are no longer divided, once no daemon uses them any more. */
  private removeFormerCells(): void {
    for (const [name, dispatcher] of this.cells) {
      const isUnused = dispatcher.isIdle && !this.isActiveFor(name);
      if (!this.options.directory.cells.has(name) && isUnused) {
        this.cells.delete(name);
        this.lastAskByCell.delete(name);
      }
    }
  }
}
