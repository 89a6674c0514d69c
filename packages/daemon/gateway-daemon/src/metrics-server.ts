/**
 * HTTP server for the metrics of a daemon in the Prometheus text format.
 */
import * as http from 'node:http';
import type { DescriptorEvent, HedgeDecision, RequestDecision } from '@dogwoodstall/gateway';
import type { RetryBudgetState } from '@dogwoodstall/grants';
import type * as promClient from 'prom-client';
import { countOpenDescriptors } from './descriptor-limit.js';
import { limitConnections } from './limit-connections.js';
import { listenHttp } from './listen-http.js';
import type { SideTaskErrors } from './side-task-errors.js';
import type { UsageReport } from './usage-counts.js';

/** Upper bounds of the latency buckets, from below the shortest processing time to above the longest deadline in use. */
const LATENCY_BUCKETS_SECONDS = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

const MAXIMUM_CONNECTIONS = 8;

/** Values of the gauges and of counters that other modules keep, read at each scrape. */
export interface MetricsSnapshot {
  readonly inFlight: number;
  readonly connections: number;
  readonly endpointConnections: number;
  readonly maximumConnections: number;
  readonly configurationVersion: number;
  readonly endpoints: number;
  readonly storeAgeMilliseconds: number;
  readonly logLinesLeftOut: number;
  /** Time for which the start waited for each port that was in use. */
  readonly portWaitMilliseconds: ReadonlyMap<string, number>;
  /** Number of fetches of the state of other daemons, and of announcements that waited for one, by event. */
  readonly stateFetches: ReadonlyMap<string, number>;
  /** Number of signals that the process received, by their labels as JSON. */
  readonly signals: ReadonlyMap<string, number>;
}

/** Collects the metrics of one daemon and serves them. */
export class MetricsServer {
  private readonly registry: promClient.Registry;

  private readonly requests: promClient.Histogram<'service' | 'result' | 'status'>;

  private readonly attempts: promClient.Counter<'outcome'>;

  private readonly failedAttempts: promClient.Counter<'reason'>;

  private readonly hedges: promClient.Counter<'service' | 'event'>;

  private readonly repeatedResponses: promClient.Counter;

  private readonly slots: promClient.Counter<'cell' | 'decision'>;

  private readonly announcements: promClient.Counter<'event'>;

  private readonly pathEvents: promClient.Counter<'event'>;

  private readonly crashEvents: promClient.Counter<'event'>;

  private readonly retryBudget: promClient.Gauge<'service' | 'kind'>;

  private readonly usage: promClient.Counter<'event'>;

  private readonly usageShare: promClient.Gauge<'group'>;

  private readonly descriptorEvents: promClient.Counter<'event'>;

  private readonly server: http.Server;

  private constructor(
    library: typeof promClient,
    read: () => MetricsSnapshot,
    errors: SideTaskErrors,
    burst: number,
  ) {
    this.registry = new library.Registry();
    const registers = [this.registry];
    this.requests = new library.Histogram({
      name: 'dogwoodstall_request_seconds',
      help: 'Time from the head of a request to its answer',
      labelNames: ['service', 'result', 'status'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.attempts = new library.Counter({
      name: 'dogwoodstall_attempts_total',
      help: 'Attempts at endpoints by outcome',
      labelNames: ['outcome'],
      registers,
    });
    this.failedAttempts = new library.Counter({
      name: 'dogwoodstall_attempt_failures_total',
      help: 'Attempts without a complete response, by reason',
      labelNames: ['reason'],
      registers,
    });
    this.hedges = new library.Counter({
      name: 'dogwoodstall_hedges_total',
      help: 'Second attempts of late requests that were started, won, cancelled, failed or refused, by event',
      labelNames: ['service', 'event'],
      registers,
    });
    this.repeatedResponses = new library.Counter({
      name: 'dogwoodstall_repeated_responses_total',
      help: 'Copies of earlier responses that endpoints sent where the next one was due',
      registers,
    });
    this.slots = new library.Counter({
      name: 'dogwoodstall_slot_decisions_total',
      help: 'Slots that this daemon granted or refused as a dispatcher',
      labelNames: ['cell', 'decision'],
      registers,
    });
    this.announcements = new library.Counter({
      name: 'dogwoodstall_endpoint_announcements_total',
      help: 'Changes of what endpoints announce about themselves, by event',
      labelNames: ['event'],
      registers,
    });
    this.pathEvents = new library.Counter({
      name: 'dogwoodstall_endpoint_path_total',
      help: 'Losses of the path to all endpoints, their ends, and requests relayed meanwhile, by event',
      labelNames: ['event'],
      registers,
    });
    this.crashEvents = new library.Counter({
      name: 'dogwoodstall_crashing_requests_total',
      help: 'Changes of what is known of requests that crash endpoints, by event',
      labelNames: ['event'],
      registers,
    });
    this.retryBudget = new library.Gauge({
      name: 'dogwoodstall_retry_budget',
      help: 'Requests and retries of own callers in a window, retries that remain, and the part of the slack, by service',
      labelNames: ['service', 'kind'],
      registers,
    });
    this.usage = new library.Counter({
      name: 'dogwoodstall_usage_total',
      help: 'Requests admitted or refused by usage limits, tokens given back, and messages sent for them, by event',
      labelNames: ['event'],
      registers,
    });
    this.usageShare = new library.Gauge({
      name: 'dogwoodstall_usage_share',
      help: 'Fraction of the usage limits that this daemon may lend, by group of organisations',
      labelNames: ['group'],
      registers,
    });
    this.descriptorEvents = new library.Counter({
      name: 'dogwoodstall_descriptor_shortage_total',
      help: 'Connections and requests that were closed, refused or failed for lack of descriptors, by event',
      labelNames: ['event'],
      registers,
    });
    MetricsServer.addGauges(library, registers, read);
    MetricsServer.addReadCounters(library, registers, read, errors);
    MetricsServer.addStartMetrics(library, registers, read);
    const openDescriptors: promClient.Gauge = new library.Gauge({
      name: 'dogwoodstall_open_descriptors',
      help: 'Open descriptors of the process; NaN where the system does not tell',
      registers,
      collect: async () => {
        openDescriptors.set((await countOpenDescriptors()) ?? NaN);
      },
    });
    this.server = http.createServer((_request, response) => {
      this.respond(response).catch((error: unknown) => {
        errors.record('metrics-request', error);
        response.destroy();
      });
    });
    errors.watchServer(this.server, 'metrics');
    limitConnections(this.server, { maximum: MAXIMUM_CONNECTIONS, burst });
  }

  /** Loads the Prometheus client on demand, to save its memory and load time in daemons without a metrics port. */
  static async create(
    read: () => MetricsSnapshot,
    errors: SideTaskErrors,
    burst: number,
  ): Promise<MetricsServer> {
    return new MetricsServer(await import('prom-client'), read, errors, burst);
  }

  private static addGauges(
    library: typeof promClient,
    registers: promClient.Registry[],
    read: () => MetricsSnapshot,
  ): void {
    const gauges: readonly (readonly [string, string, (snapshot: MetricsSnapshot) => number])[] = [
      ['requests_in_flight', 'Requests without an answer', ({ inFlight }) => inFlight],
      ['caller_connections', 'Open connections of callers', ({ connections }) => connections],
      [
        'endpoint_connections',
        'Open connections to endpoints',
        ({ endpointConnections }) => endpointConnections,
      ],
      [
        'maximum_connections',
        'Limit of the connections of callers and to endpoints together',
        ({ maximumConnections }) => maximumConnections,
      ],
      ['configuration_version', 'Version in force', (snapshot) => snapshot.configurationVersion],
      ['endpoints', 'Known endpoints of all services', ({ endpoints }) => endpoints],
      [
        'store_age_seconds',
        'Time since the last news from the store',
        ({ storeAgeMilliseconds }) => storeAgeMilliseconds / 1000,
      ],
    ];
    for (const [name, help, select] of gauges) {
      const gauge: promClient.Gauge = new library.Gauge({
        name: `dogwoodstall_${name}`,
        help,
        registers,
        collect: () => {
          gauge.set(select(read()));
        },
      });
    }
  }

  private static addStartMetrics(
    library: typeof promClient,
    registers: promClient.Registry[],
    read: () => MetricsSnapshot,
  ): void {
    const portWaits = new library.Gauge({
      name: 'dogwoodstall_port_wait_seconds',
      help: 'Time for which the start waited for a port that was in use',
      labelNames: ['port'],
      registers,
      collect: () => {
        for (const [port, milliseconds] of read().portWaitMilliseconds) {
          portWaits.set({ port }, milliseconds / 1000);
        }
      },
    });
    const signals = new library.Counter({
      name: 'dogwoodstall_signals_total',
      help: 'Signals that the process received, by phase',
      labelNames: ['signal', 'phase'],
      registers,
      collect: () => {
        signals.reset();
        for (const [labels, count] of read().signals) {
          signals.inc(JSON.parse(labels) as Record<'signal' | 'phase', string>, count);
        }
      },
    });
  }

  private static addReadCounters(
    library: typeof promClient,
    registers: promClient.Registry[],
    read: () => MetricsSnapshot,
    errors: SideTaskErrors,
  ): void {
    const failures: promClient.Counter<'task'> = new library.Counter({
      name: 'dogwoodstall_side_task_errors_total',
      help: 'Errors of tasks that no request waits for, by task',
      labelNames: ['task'],
      registers,
      collect: () => {
        failures.reset();
        for (const [task, count] of errors.counts) {
          failures.inc({ task }, count);
        }
      },
    });
    const stateFetches: promClient.Counter<'event'> = new library.Counter({
      name: 'dogwoodstall_state_fetches_total',
      help: 'Fetches of the state of other daemons, and announcements that waited for one, by event',
      labelNames: ['event'],
      registers,
      collect: () => {
        stateFetches.reset();
        for (const [event, count] of read().stateFetches) {
          stateFetches.inc({ event }, count);
        }
      },
    });
    const leftOut: promClient.Counter = new library.Counter({
      name: 'dogwoodstall_log_lines_left_out_total',
      help: 'Log lines that standard output did not take',
      registers,
      collect: () => {
        leftOut.reset();
        leftOut.inc(read().logLinesLeftOut);
      },
    });
  }

  /** Counts a completed request and its attempts. */
  countRequest({ service, result, status, milliseconds, attempts }: RequestDecision): void {
    this.requests.observe({ service, result, status: String(status) }, milliseconds / 1000);
    for (const { outcome, reason } of attempts) {
      this.attempts.inc({ outcome });
      if (reason !== undefined) {
        this.failedAttempts.inc({ reason });
      }
    }
  }

  /** Counts an event of a hedge. */
  countHedge({ service, event }: HedgeDecision): void {
    this.hedges.inc({ service, event });
  }

  /** Counts a copy of an earlier response. */
  countRepeatedResponse(): void {
    this.repeatedResponses.inc();
  }

  /** Counts a decision on a slot request. */
  countSlot(cell: string, decision: string): void {
    this.slots.inc({ cell, decision });
  }

  /** Counts a change of what an endpoint announces. */
  countAnnouncement(event: string): void {
    this.announcements.inc({ event });
  }

  /** Counts a change of the path to the endpoints, or an attempt that was sent through another daemon. */
  countPathEvent(event: 'lost' | 'regained' | 'relayed' | 'relay-failed'): void {
    this.pathEvents.inc({ event });
  }

  /** Counts a change of what is known of a request that crashes endpoints. */
  countCrash(event: string): void {
    this.crashEvents.inc({ event });
  }

  /** Sets what this daemon has of the retry budget of a service. */
  setRetryBudget(service: string, { requests, retries, remaining, slack }: RetryBudgetState): void {
    for (const [kind, value] of Object.entries({ requests, retries, remaining, slack })) {
      this.retryBudget.set({ service, kind }, value);
    }
  }

  /** Counts what was decided about usage limits. */
  countUsage({ shares, refusedMost, ...counts }: UsageReport): void {
    for (const [event, count] of Object.entries(counts)) {
      this.usage.inc({ event }, count);
    }
    for (const [group, share] of shares.entries()) {
      this.usageShare.set({ group }, share);
    }
  }

  /** Counts connections and requests that were closed, refused or failed for lack of descriptors. */
  countDescriptorEvents(event: DescriptorEvent, count: number): void {
    this.descriptorEvents.inc({ event }, count);
  }

  /** Binds the port; throws `ListenFailed`. */
  async listen(host: string, port: number): Promise<void> {
    await listenHttp(this.server, host, port);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async respond(response: http.ServerResponse): Promise<void> {
    const text = await this.registry.metrics();
    response.writeHead(200, { 'Content-Type': this.registry.contentType });
    response.end(text);
  }
}
