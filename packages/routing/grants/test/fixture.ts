/**
 * Runs a dispatcher in virtual time and records its decisions.
 */
import type { Endpoint } from '@dogwoodstall/traffic';
import * as grants from '../src/index.js';

export type Granted = Extract<grants.Decision, { kind: 'grant' }>;

/** Creates an endpoint, with two slots unless changed. */
export function createEndpoint(id: string, changes: Partial<Endpoint> = {}): Endpoint {
  return {
    id,
    service: 'valuation',
    address: `127.0.0.1:${8000 + id.length}`,
    zone: 'a',
    slots: 2,
    draining: false,
    warmUpMilliseconds: 0,
    lifetime: 1,
    ...changes,
  };
}

/** Sends requests and reports to one dispatcher. */
export class VirtualService {
  now = 1000;

  /** Share of announced limits that the dispatcher may use. */
  limitShare = 1;

  readonly decisions = new Map<string, grants.Decision>();

  readonly announcements: grants.AnnouncementChange[] = [];

  readonly crashRecords = new grants.CrashRecords();

  readonly dispatcher: grants.CellDispatcher;

  private lastGrantId = 0;

  private lastKey = 0;

  constructor(endpoints: readonly Endpoint[]) {
    this.dispatcher = new grants.CellDispatcher({
      now: () => this.now,
      limitShare: () => this.limitShare,
      crashRecords: this.crashRecords,
      nextGrantId: () => {
        this.lastGrantId += 1;
        return this.lastGrantId;
      },
      onAnnouncement: (change) => this.announcements.push(change),
      decide: ({ key }, decision) => this.decisions.set(key, decision),
    });
    this.dispatcher.updateEndpoints(endpoints);
  }

  /** Requests a slot; returns the key of its decision in `decisions`. */
  ask(changes: Partial<grants.SlotRequest> = {}): string {
    this.lastKey += 1;
    const key = String(this.lastKey);
    this.dispatcher.ask({
      key,
      entry: 'entry-1',
      zone: 'a',
      route: 'offers',
      idempotent: false,
      organisation: '',
      priority: 1,
      remaining: 1500,
      target: 400,
      repeated: false,
      mayProbe: true,
      waitedElsewhere: 0,
      kilobytes: 0,
      fingerprint: key,
      excluded: new Set(),
      ...changes,
    });
    return key;
  }

  /** Returns the grant of a request; throws if it was not granted. */
  grantOf(key: string): Granted {
    const decision = this.decisions.get(key);
    if (decision?.kind !== 'grant') {
      throw new Error(`${key}: ${decision?.kind ?? 'no decision'}`);
    }
    return decision;
  }

  /** Requests a slot, unless `key` is given, and reports the outcome of the attempt after `elapsed` milliseconds. */
  run(
    outcome: grants.AttemptResult['outcome'],
    elapsed: number,
    key = this.ask(),
    announcement: grants.AttemptResult['announcement'] = null,
  ): Granted {
    const granted = this.grantOf(key);
    this.now += elapsed;
    this.dispatcher.report(granted.grantId, {
      outcome,
      elapsed,
      load: -1,
      silent: false,
      rested: 0,
      announcement,
    });
    return granted;
  }
}
