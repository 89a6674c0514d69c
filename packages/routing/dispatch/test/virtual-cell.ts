/**
 * Runs a real `CellDispatcher` with simulated requests and endpoints in virtual time.
 */
import type { AttemptOutcome, HealthChange } from '@dogwoodstall/health';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { CellDispatcher, type DispatchRequest, type SlotGrant } from '../src/index.js';
import { EventQueue } from './event-queue.js';

/** The result of running a request at an endpoint. */
export interface ExecutionResult {
  readonly kind: AttemptOutcome['kind'];
  /** Infinity if no response arrives before the request's deadline. */
  readonly milliseconds: number;
  readonly draining?: boolean;
}

/** Returns the result of a faulty execution, or undefined for a normal one. */
export type Fault = (
  request: DispatchRequest,
  serviceTime: number,
  now: number,
) => ExecutionResult | undefined;

/** Options of a virtual cell. */
export interface VirtualCellOptions {
  readonly seed: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly contract?: Partial<model.Contract>;
  /** Draws the service time of a request in milliseconds. */
  readonly drawServiceTime: (cell: VirtualCell, request: DispatchRequest) => number;
}

/** Statistics of the results of the requests. */
export interface RequestStatistics {
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

/** A cell of simulated endpoints in virtual time. */
export class VirtualCell {
  readonly events = new EventQueue();

  readonly faults = new Map<string, Fault>();

  readonly changes: HealthChange[] = [];

  readonly dispatcher: CellDispatcher;

  readonly servers: model.BackendServer[];

  readonly statistics: RequestStatistics = {
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

  /** Draws a number from 0 (inclusive) to 1 (exclusive). */
  readonly random = (): number => uniformFloat64(this.generator);

  /** Draws a number from an exponential distribution. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.random());
  }

  /** Creates a request; `fields` override the defaults. */
  createRequest(fields: Partial<DispatchRequest> = {}): DispatchRequest {
    return {
      requestId: `request-${this.statistics.offered}`,
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

  /** Sends requests as a Poisson process until a virtual time. */
  generateLoad(
    ratePerSecond: (now: number) => number,
    end: number,
    createFields: () => Partial<DispatchRequest> = () => ({}),
  ): void {
    const next = (): void => {
      const interval = this.exponential(1000 / ratePerSecond(this.events.time));
      this.events.schedule(() => {
        if (this.events.time <= end) {
          this.send(this.createRequest(createFields()));
          next();
        }
      }, interval);
    };
    next();
  }

  /** Sends one request. */
  send(request: DispatchRequest): void {
    this.statistics.offered += 1;
    this.dispatcher.acquire(request).then(
      (grant) => this.execute(request, grant),
      (error: unknown) => {
        const { kind } = results.toFailure(error);
        this.statistics.refused += 1;
        this.statistics.refusals.set(kind, (this.statistics.refusals.get(kind) ?? 0) + 1);
      },
    );
  }

  /** Returns the time of the first ejection of an endpoint at or after a time. */
  findEjection(name: string, after: number): number | undefined {
    const found = this.changes.find(
      (change) => change.kind === 'ejected' && change.endpointName === name && change.at >= after,
    );
    return found?.at;
  }

  private execute(request: DispatchRequest, grant: SlotGrant): void {
    const { time } = this.events;
    if (request.sizeClass === 'short') {
      this.statistics.shortWaits.push(grant.queuedMilliseconds);
    }
    const serviceTime = this.options.drawServiceTime(this, request);
    const fault = this.faults.get(grant.endpoint.name);
    const execution = fault?.(request, serviceTime, time) ?? {
      kind: 'success',
      milliseconds: serviceTime,
    };
    const untilDeadline = request.deadlineAt - time;
    const late = execution.milliseconds > untilDeadline;
    const milliseconds = Math.min(execution.milliseconds, untilDeadline);
    const kind = late ? 'timeout' : execution.kind;
    this.events.schedule(() => {
      const { routeName, organisation } = request;
      const draining = execution.draining ?? false;
      grant.release({ kind, routeName, organisation, milliseconds, draining });
      this.recordResult(request, kind);
    }, milliseconds);
  }

  private recordResult(request: DispatchRequest, kind: AttemptOutcome['kind']): void {
    const { statistics } = this;
    if (kind === 'timeout') {
      statistics.late += 1;
    } else if (kind === 'success') {
      statistics.inTime += 1;
      const served = statistics.servedByOrganisation.get(request.organisation) ?? 0;
      statistics.servedByOrganisation.set(request.organisation, served + 1);
    } else {
      statistics.failed += 1;
    }
  }
}

/** Returns the percentile of the values for a share from 0 to 1. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Infinity;
}
