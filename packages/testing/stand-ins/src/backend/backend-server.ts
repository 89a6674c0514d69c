/**
 * Stand-in for one backend server with slots, its own queue, load reports, load shedding, draining,
 * deadlines, cancellation, uploads, streamed responses and fault injection.
 */
import { EventEmitter, once } from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { closeServer, listen, writeJson } from '../control-server.js';
import { createContent } from './content.js';
import type { ExecutionLog, ExecutionStart } from './execution-log.js';
import { activeFaults, backendFaultsSchema, type BackendFaults } from './faults.js';
import { createCounters } from './counters.js';
import { readUpload, streamContent, type UploadSummary } from './bodies.js';
import { LoadHistory, formatLoadHeader, type Load } from './load-report.js';
import { SlotQueue } from './slot-queue.js';
import { ServiceTime, readWorkRequest, type WorkRequest } from './work.js';

/** Options of one backend server. */
export interface BackendServerOptions {
  readonly name: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Length of the server's own queue at which further requests are shed. */
  readonly queueLimit?: number;
  readonly workMilliseconds?: number;
  readonly variation?: number;
  readonly coldStartFactor?: number;
  readonly coldStartMilliseconds?: number;
  readonly seed?: number;
}

const DEFAULT_QUEUE_LIMIT = 1000;
const DEFAULT_WORK_MILLISECONDS = 20;
const DEFAULT_VARIATION = 0.2;

/** One backend server stand-in, listening on its own port. */
export class BackendServerStandIn {
  readonly name: string;

  readonly slots: number;

  readonly connectionLimit: number;

  readonly counters = createCounters();

  private readonly server: http.Server;

  private readonly log: ExecutionLog;

  private readonly queue: SlotQueue;

  private readonly queueLimit: number;

  private readonly serviceTime: ServiceTime;

  private readonly history = new LoadHistory();

  private readonly events = new EventEmitter();

  private readonly sockets = new Set<net.Socket>();

  private faults: BackendFaults = backendFaultsSchema.parse({});

  private faultsSetAt = 0;

  private startedAt = 0;

  private drainingSince: number | undefined;

  private drainReportedAt: number | undefined;

  private boundAddress = '';

  private restartTimer: NodeJS.Timeout | undefined;

  constructor(options: BackendServerOptions, log: ExecutionLog) {
    this.name = options.name;
    this.slots = options.slots;
    this.connectionLimit = options.connectionLimit;
    this.log = log;
    this.queue = new SlotQueue(options.slots);
    this.queueLimit = options.queueLimit ?? DEFAULT_QUEUE_LIMIT;
    this.serviceTime = new ServiceTime({
      seed: options.seed ?? 1,
      defaultMilliseconds: options.workMilliseconds ?? DEFAULT_WORK_MILLISECONDS,
      variation: options.variation ?? DEFAULT_VARIATION,
      coldStartFactor: options.coldStartFactor ?? 1,
      coldStartMilliseconds: options.coldStartMilliseconds ?? 0,
    });
    this.events.setMaxListeners(0);
    this.server = http.createServer({ requestTimeout: 0 }, (request, response) => {
      this.handleRequest(request, response).catch(() => response.destroy());
    });
    this.server.maxConnections = options.connectionLimit;
    this.server.on('connection', (socket: net.Socket) => this.acceptConnection(socket));
  }

  get address(): string {
    return this.boundAddress;
  }

  /** The actual load, regardless of faults in load reports. */
  get load(): Load {
    return { inFlight: this.queue.inFlight, queued: this.queue.queued };
  }

  async start(address = '127.0.0.1:0'): Promise<void> {
    this.startedAt = performance.now();
    this.boundAddress = await listen(this.server, address);
  }

  async stop(): Promise<void> {
    clearTimeout(this.restartTimer);
    this.clearFaults();
    await closeServer(this.server);
  }

  /** Merges the given faults into the current ones. */
  setFaults(partial: unknown): BackendFaults {
    this.faults = backendFaultsSchema.parse({ ...this.faults, ...(partial as object) });
    this.faultsSetAt = performance.now();
    this.events.emit('change');
    return this.faults;
  }

  clearFaults(): void {
    this.faults = backendFaultsSchema.parse({});
    this.events.emit('change');
  }

  /** Starts or ends a drain; a draining server still accepts requests but reports the drain. */
  setDraining(draining: boolean): void {
    this.drainingSince = draining ? performance.now() : undefined;
    this.drainReportedAt = undefined;
    this.counters.drains += draining ? 1 : 0;
  }

  /** Resets every connection, refuses new ones for a time, then restarts with a cold start. */
  crash(refusalMilliseconds = this.faults.crashRefusalMilliseconds): void {
    if (this.restartTimer !== undefined) {
      return;
    }
    this.counters.crashes += 1;
    this.server.close();
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
    this.restartTimer = setTimeout(() => {
      this.restartTimer = undefined;
      this.startedAt = performance.now();
      listen(this.server, this.boundAddress).catch(() => this.events.emit('change'));
    }, refusalMilliseconds);
  }

  private get currentFaults(): BackendFaults {
    return activeFaults(this.faults, performance.now() - this.faultsSetAt);
  }

  private acceptConnection(socket: net.Socket): void {
    this.counters.connections += 1;
    if (this.currentFaults.acceptAndReset) {
      socket.resetAndDestroy();
      return;
    }
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const path = (request.url ?? '/').split('?', 1)[0];
    if (path === '/health') {
      writeJson(response, 200, { status: 'ok' });
      return;
    }
    this.setReportHeaders(response);
    if (path === '/load') {
      writeJson(response, 200, this.getReportedLoad());
      return;
    }
    await this.enqueueRequest(request, response);
  }

  private async enqueueRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.counters.requests += 1;
    this.recordArrivalAfterDrainReport();
    const work = readWorkRequest(request, performance.now());
    if (this.queue.inFlight >= this.slots && this.queue.queued >= this.queueLimit) {
      this.counters.shed += 1;
      this.reject(response, 503, 'the queue is full');
      return;
    }
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    const acquired = this.queue.acquire(closed.signal);
    this.recordLoad();
    if (!(await acquired)) {
      this.counters.cancelled += 1;
      return;
    }
    try {
      if (performance.now() > work.deadlineAt) {
        this.counters.expired += 1;
        this.reject(response, 503, 'the deadline passed in the queue');
        return;
      }
      await this.executeRequest(work, request, response, closed.signal);
    } finally {
      this.queue.release();
      this.recordLoad();
    }
  }

  private async executeRequest(
    work: WorkRequest,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const start: ExecutionStart = { server: this.name, ...work };
    this.recordStart(start);
    try {
      const upload = await readUpload(request);
      const age = performance.now() - this.startedAt;
      const milliseconds = this.serviceTime.drawServiceTime(work.workMilliseconds, age);
      // A timer of 0 ms takes 1 ms, which would hide the latency that a daemon adds to a request.
      const delay = milliseconds * this.currentFaults.slowFactor;
      if (delay > 0) {
        await sleep(delay, undefined, { signal });
      }
      while (this.currentFaults.stalled) {
        await once(this.events, 'change', { signal });
      }
      if (work.crashMarker !== undefined && work.crashMarker === this.faults.crashMarker) {
        this.crash();
        return;
      }
      this.setReportHeaders(response);
      await this.sendResponse(work, upload, response, signal);
      this.counters.finished += 1;
      this.log.recordFinish(start);
    } catch (error) {
      if (!signal.aborted) {
        throw error;
      }
      this.counters.cancelled += 1;
    }
  }

  private recordArrivalAfterDrainReport(): void {
    if (this.drainReportedAt !== undefined) {
      const sinceReport = performance.now() - this.drainReportedAt;
      this.counters.lastArrivalAfterStatementMilliseconds = Math.max(
        this.counters.lastArrivalAfterStatementMilliseconds,
        sinceReport,
      );
    }
  }

  private recordStart(start: ExecutionStart): void {
    this.log.recordStart(start);
    this.counters.started += 1;
    if (this.drainingSince !== undefined) {
      this.counters.startedWhileDraining += 1;
      this.counters.lastStartAfterDrainMilliseconds = performance.now() - this.drainingSince;
    }
  }

  private async sendResponse(
    work: WorkRequest,
    upload: UploadSummary,
    response: http.ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    const faults = this.currentFaults;
    const prefix = faults.failPathPrefix;
    const draw = this.serviceTime.drawNumber();
    if (draw < faults.failShare || (prefix !== undefined && work.path.startsWith(prefix))) {
      this.counters.failed += 1;
      writeJson(response, 500, { message: 'injected failure', token: work.token });
      return;
    }
    const summary = { token: work.token, server: this.name, upload };
    const text = Buffer.from(`${JSON.stringify(summary)}\n`);
    const bytes = work.responseBytes ?? text.length;
    response.setHeader('upload-digest', upload.digest);
    if (!work.chunked) {
      response.setHeader('content-length', bytes);
    }
    const content = work.responseBytes === undefined ? [text] : createContent(work.token, bytes);
    const cutAfter =
      this.serviceTime.drawNumber() < faults.cutShare ? Math.floor(bytes / 2) : Infinity;
    await streamContent(response, content, cutAfter, signal);
  }

  private reject(response: http.ServerResponse, status: number, message: string): void {
    response.setHeader('request-not-run', 'true');
    // The remaining upload is not read, so the connection can't carry another request.
    response.setHeader('connection', 'close');
    this.setReportHeaders(response);
    writeJson(response, status, { message });
  }

  private getReportedLoad(): Load {
    return this.history.getReportedLoad(this.load, this.currentFaults, performance.now());
  }

  private recordLoad(): void {
    this.counters.largestQueue = Math.max(this.counters.largestQueue, this.queue.queued);
    this.history.record(this.load, performance.now());
  }

  private setReportHeaders(response: http.ServerResponse): void {
    response.setHeader('endpoint-load-metrics', formatLoadHeader(this.getReportedLoad()));
    if (this.drainingSince !== undefined) {
      response.setHeader('backend-draining', 'true');
      this.drainReportedAt ??= performance.now();
    }
  }
}
