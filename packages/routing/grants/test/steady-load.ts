/**
 * Steady load on one dispatcher in virtual time: 143 requests per second of 20 entry daemons, a third of them idempotent.
 */
import type { Endpoint } from '@dogwoodstall/traffic';
import type * as grants from '../src/index.js';
import type { VirtualService } from './fixture.js';

const SERVICE_MILLISECONDS = 100;
const STEP_MILLISECONDS = 7;
const ENTRY_COUNT = 20;
/** Time after which an entry daemon without a path returns a grant as unused. */
const LOSS_DETECTION_MILLISECONDS = 900;

/** What became of the requests of one run. */
export interface LoadResult {
  readonly granted: number;
  readonly refused: number;
  /** Refused requests of entry daemons that reach the endpoints. */
  readonly refusedWithPath: number;
  /** Mean milliseconds from a request to its refusal. */
  readonly waitedForRefusal: number;
}

interface RunningAttempt {
  readonly endsAt: number;
  readonly service: VirtualService;
  readonly granted: Extract<grants.Decision, { kind: 'grant' }>;
  /** Whether its entry daemon does not reach the endpoints. */
  readonly isLost: boolean;
}

/** Returns the name of an entry daemon. */
export function nameEntry(index: number): string {
  return `entry-${index % ENTRY_COUNT}`;
}

/** Sends requests and lets each attempt succeed after a fixed time. */
export class SteadyLoad {
  private running: RunningAttempt[] = [];

  /** Entry daemons that do not reach the endpoints. */
  readonly entriesWithoutPath = new Set<string>();

  private readonly undecided = new Map<
    string,
    { readonly entry: string; readonly askedAt: number }
  >();

  private readonly grantsByEndpoint = new Map<string, number[]>();

  private step = 0;

  constructor(public service: VirtualService) {}

  /** Sends all further requests to another dispatcher, without waiting for those in flight. */
  handOver(service: VirtualService): void {
    Object.assign(service, { now: this.service.now });
    this.service = service;
    this.undecided.clear();
  }

  /** Times at which an endpoint was granted. */
  listGrants(endpoint: string): readonly number[] {
    return this.grantsByEndpoint.get(endpoint) ?? [];
  }

  /** Runs the load; `findLimit` returns what an endpoint announces when it responds, or null. */
  run(milliseconds: number, findLimit: (endpoint: Endpoint) => number | null): LoadResult {
    const end = this.service.now + milliseconds;
    let granted = 0;
    let refused = 0;
    let refusedWithPath = 0;
    let waited = 0;
    while (this.service.now < end) {
      this.step += 1;
      this.service.now += STEP_MILLISECONDS;
      this.finishAttempts(findLimit);
      const asking = nameEntry(this.step);
      this.undecided.set(this.service.ask({ entry: asking, idempotent: this.step % 3 === 0 }), {
        entry: asking,
        askedAt: this.service.now,
      });
      this.service.dispatcher.tick();
      for (const [key, { entry, askedAt }] of this.undecided) {
        const decision = this.service.decisions.get(key);
        if (decision !== undefined) {
          this.undecided.delete(key);
        }
        if (decision?.kind === 'grant') {
          granted += 1;
          this.recordGrant(decision, entry);
        } else if (decision?.kind === 'refuse') {
          refused += 1;
          refusedWithPath += this.entriesWithoutPath.has(entry) ? 0 : 1;
          waited += this.service.now - askedAt;
        }
      }
    }
    return {
      granted,
      refused,
      refusedWithPath,
      waitedForRefusal: refused === 0 ? 0 : waited / refused,
    };
  }

  private recordGrant(granted: RunningAttempt['granted'], entry: string): void {
    const { id } = granted.endpoint;
    this.grantsByEndpoint.set(id, [...this.listGrants(id), this.service.now]);
    const isLost = this.entriesWithoutPath.has(entry);
    const endsAt = this.service.now + (isLost ? LOSS_DETECTION_MILLISECONDS : SERVICE_MILLISECONDS);
    this.running.push({ endsAt, service: this.service, granted, isLost });
  }

  private finishAttempts(findLimit: (endpoint: Endpoint) => number | null): void {
    const ended = this.running.filter(({ endsAt }) => endsAt <= this.service.now);
    this.running = this.running.filter(({ endsAt }) => endsAt > this.service.now);
    for (const { granted, service, isLost } of ended) {
      const limit = findLimit(granted.endpoint);
      Object.assign(service, { now: this.service.now });
      service.dispatcher.report(granted.grantId, {
        outcome: isLost ? 'unused' : 'success',
        elapsed: isLost ? LOSS_DETECTION_MILLISECONDS : SERVICE_MILLISECONDS,
        load: -1,
        silent: isLost,
        rested: 0,
        announcement:
          limit === null || isLost
            ? null
            : { requestsPerSecond: limit, leaving: false, pauseMilliseconds: 0 },
      });
    }
  }
}
