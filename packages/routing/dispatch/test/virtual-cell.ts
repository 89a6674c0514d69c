/**
 * Drives a real `CellDispatcher` with requests and faulty endpoints in virtual time.
 */
import type { AttemptOutcome, HealthChange } from '@dogwoodstall/health';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { CellDispatcher, type DispatchRequest, type SlotGrant } from '../src/index.js';
import { EventQueue } from './event-queue.js';

/** What an endpoint does with a request. */
export interface Execution {
  readonly kind: AttemptOutcome['kind'];
  /** Infinity: nothing comes back before the request's deadline. */
  readonly milliseconds: number;
  readonly draining?: boolean;
}

/** Decides what an endpoint does; returns undefined for normal work. */
export type Fault = (request: DispatchRequest, work: number, now: number) => Execution | undefined;

/** Options of a virtual cell. */
export interface VirtualCellOptions {
  readonly seed: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly contract?: Partial<model.Contract>;
  /** Service time of a request. */
  readonly drawWork: (cell: VirtualCell, request: DispatchRequest) => number;
}

/** Counts of what happened to the requests. */
export interface Tally {
  offered: number;
  inTime: number;
  late: number;
  failed: number;
  refused: number;
  readonly refusals: Map<string, number>;
  readonly shortWaits: number[];
  readonly servedByOrganisation: Map<string, number>;
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Creates the configuration of one backend server. */
export function createServer(index: number, slots: number): model.BackendServer {
  return {
    name: `server-${index}`,
    service: 'service',
    address: `127.0.0.1:${9000 + index}`,
    zone: ZONES[index % ZONES.length] ?? 'zone-a',
    slots,
    connectionLimit: 330,
    draining: false,
  };
}

/** A cell of endpoints in virtual time. */
export class VirtualCell {
  readonly events = new EventQueue();

  readonly faults = new Map<string, Fault>();

  readonly changes: HealthChange[] = [];

  readonly dispatcher: CellDispatcher;

  readonly servers: model.BackendServer[];

  readonly tally: Tally = {
    offered: 0,
    inTime: 0,
    late: 0,
    failed: 0,
    refused: 0,
    refusals: new Map(),
    shortWaits: [],
    servedByOrganisation: new Map(),
  };

  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(private readonly options: VirtualCellOptions) {
    this.generator = xoroshiro128plus(options.seed);
    this.servers = Array.from({ length: options.endpoints }, (_, index) =>
      createServer(index, options.slots),
    );
    this.dispatcher = new CellDispatcher({
      cellName: 'service/region/0',
      servers: this.servers,
      contract: model.contractSchema.parse(options.contract ?? {}),
      now: this.events.now,
      random: this.random,
      schedule: this.events.schedule,
      logHealth: (change) => this.changes.push(change),
    });
  }

  /** Draws a number from 0 to below 1. */
  readonly random = (): number => uniformFloat64(this.generator);

  /** Draws from an exponential distribution. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.random());
  }

  /** Creates a request; every field can be replaced. */
  createRequest(fields: Partial<DispatchRequest> = {}): DispatchRequest {
    return {
      requestId: `request-${this.tally.offered}`,
      service: 'service',
      routeName: 'route',
      organisation: 'organisation',
      sizeClass: 'short',
      priority: 1,
      deadlineAt: this.events.time + 2000,
      originZone: ZONES[Math.floor(this.random() * ZONES.length)] ?? 'zone-a',
      excludedEndpoints: new Set(),
      signal: new AbortController().signal,
      ...fields,
    };
  }

  /** Sends requests with exponential pauses until a virtual time. */
  generate(
    ratePerSecond: (now: number) => number,
    end: number,
    draw: () => Partial<DispatchRequest> = () => ({}),
  ): void {
    const next = (): void => {
      const pause = this.exponential(1000 / ratePerSecond(this.events.time));
      this.events.schedule(() => {
        if (this.events.time <= end) {
          this.send(this.createRequest(draw()));
          next();
        }
      }, pause);
    };
    next();
  }

  /** Sends one request. */
  send(request: DispatchRequest): void {
    this.tally.offered += 1;
    this.dispatcher.acquire(request).then(
      (grant) => this.execute(request, grant),
      (error: unknown) => {
        const { kind } = results.toFailure(error);
        this.tally.refused += 1;
        this.tally.refusals.set(kind, (this.tally.refusals.get(kind) ?? 0) + 1);
      },
    );
  }

  /** Returns the time of the first ejection of an endpoint after a moment. */
  findEjection(name: string, after: number): number | undefined {
    const found = this.changes.find(
      (change) => change.kind === 'ejected' && change.endpointName === name && change.at >= after,
    );
    return found?.at;
  }

  private execute(request: DispatchRequest, grant: SlotGrant): void {
    const { time } = this.events;
    if (request.sizeClass === 'short') {
      this.tally.shortWaits.push(grant.queuedMilliseconds);
    }
    const work = this.options.drawWork(this, request);
    const fault = this.faults.get(grant.endpoint.name);
    const execution = fault?.(request, work, time) ?? { kind: 'success', milliseconds: work };
    const untilDeadline = request.deadlineAt - time;
    const late = execution.milliseconds > untilDeadline;
    const milliseconds = Math.min(execution.milliseconds, untilDeadline);
    const kind = late ? 'timeout' : execution.kind;
    this.events.schedule(() => {
      const { routeName, organisation } = request;
      const draining = execution.draining ?? false;
      grant.release({ kind, routeName, organisation, milliseconds, draining });
      this.count(request, kind);
    }, milliseconds);
  }

  private count(request: DispatchRequest, kind: AttemptOutcome['kind']): void {
    const { tally } = this;
    if (kind === 'timeout') {
      tally.late += 1;
    } else if (kind === 'success') {
      tally.inTime += 1;
      const served = tally.servedByOrganisation.get(request.organisation) ?? 0;
      tally.servedByOrganisation.set(request.organisation, served + 1);
    } else {
      tally.failed += 1;
    }
  }
}

/** Returns the value that a share of the values does not exceed. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Infinity;
}
