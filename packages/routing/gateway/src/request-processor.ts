/**
 * Processes one request of a caller: identifies caller and route, applies the usage cap and the deadline, buffers the
 * body, and sends the response.
 */
import type * as http from 'node:http';
import * as proxy from '@dogwoodstall/proxy';
import * as results from '@dogwoodstall/results';
import {
  type Organisation,
  type Route,
  type RouteIndex,
  chooseDestination,
} from '@dogwoodstall/traffic';
import type { AttemptOptions } from './attempt.js';
import { type BufferedBody, readBody } from './body-buffer.js';
import {
  type CallerIdentity,
  computePriority,
  identifyCaller,
  readRelayedCaller,
} from './caller-identity.js';
import {
  type CallerResponder,
  type IncomingRequest,
  NOT_READY_RETRY_MILLISECONDS,
} from './caller-responder.js';
import type { ConnectionPool } from './connection-pool.js';
import { computeFingerprint, selectForwardedHeaders } from './incoming-request.js';
import type { MemoryBudget } from './memory-budget.js';
import { MemoryShare } from './memory-share.js';
import { computeDeadline } from './request-deadline.js';
import { type RelayState, readRelayHeaders } from './relay.js';
import { type AttemptRecord, type RequestResult, executeRequest } from './request-execution.js';
import type { RetryBudgets, SlotSource } from './slots.js';
import type { UnreadResponses } from './unread-responses.js';
import type { UsageLimits } from './usage-limits.js';
import type { Hedging } from './hedging.js';
import type { WireProtocol } from './wire-protocol.js';

/** The routing and result of a request, for the log and the metrics. */
export interface RequestDecision {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  /** Organisation of the caller; empty if it has none or is not known. */
  readonly organisation: string;
  readonly configurationVersion: number;
  readonly attempts: readonly AttemptRecord[];
  readonly result: string;
  readonly status: number;
  readonly milliseconds: number;
  /** How much of that time the request waited for the usage limit of its organisation. */
  readonly usageWaitMilliseconds: number;
  readonly remainingMilliseconds: number;
}

/** Options of request processing that do not depend on the server. */
export interface RequestOptions {
  readonly protocol: WireProtocol;
  readonly slots: SlotSource;
  readonly retryBudgets: RetryBudgets;
  readonly hedging: Hedging;
  readonly usageLimits: UsageLimits;
  /** Whether a daemon of the fleet has the given IP address; only daemons relay requests. */
  readonly isDaemon: (host: string) => boolean;
  /** Returns the active routes; undefined until configuration and endpoints are known. */
  readonly findRoutes: () => RouteIndex | undefined;
  /** Resolves when routes become active or the signal is aborted, or after the given time at the latest. */
  readonly waitForRoutes: (milliseconds: number, signal: AbortSignal) => Promise<void>;
  readonly onUnreadableAnnouncement: AttemptOptions['onUnreadableAnnouncement'];
  readonly onDecision: (decision: RequestDecision) => void;
}

/** State of the server that the processing of requests depends on. */
export interface ServerContext {
  readonly responder: CallerResponder;
  readonly pool: ConnectionPool;
  readonly bodyMemory: MemoryBudget;
  readonly responseMemory: MemoryBudget;
  readonly unreadResponses: UnreadResponses;
  /** Frees descriptors when there was none for a connection to an endpoint. */
  readonly onDescriptorShortage: () => void;
  /** Whether the server refuses all further requests. */
  readonly isRejecting: () => boolean;
  /** Monotonic milliseconds at which the graceful shutdown ends; `Infinity` before it begins. */
  readonly stopEndsAt: () => number;
}

/** A request whose caller and route are known. */
interface AcceptedRequest {
  readonly incoming: IncomingRequest;
  readonly checked: ReturnType<typeof proxy.checkRequest>;
  readonly routes: RouteIndex;
  readonly route: Route;
  /** Set if another daemon relayed the request. */
  readonly relayed: RelayState | undefined;
  readonly caller: CallerIdentity;
  readonly deadlineAt: number;
  readonly usageWaitMilliseconds: number;
}

/** A newly started daemon receives the routes within this time, so that waiting saves the caller a retry. */
const ROUTES_WAIT_MILLISECONDS = 500;
/** Maximum fraction of the caller's deadline spent waiting for the routes. */
const ROUTES_WAIT_FRACTION = 0.3;

/** The daemon that relays a request has chosen its service and counts the request there. */
function chooseService(route: Route, relayed: RelayState | undefined): string {
  for (const { service } of route.destinations) {
    if (encodeURIComponent(service) === relayed?.service) {
      return service;
    }
  }
  return chooseDestination(route, Math.random());
}

/** Processes the requests of one server. */
export class RequestProcessor {
  constructor(
    private readonly options: RequestOptions,
    private readonly server: ServerContext,
  ) {}

  /** Sends the response of a request; throws a `FailureError` if it ends before its first attempt. */
  async process(incoming: IncomingRequest): Promise<void> {
    const { request, lifetime } = incoming;
    const checked = proxy.checkRequest(request);
    const routes = await this.findRoutes(incoming);
    lifetime.throwIfEnded();
    if (routes === undefined || this.server.isRejecting()) {
      this.rejectNotReady(incoming);
      return;
    }
    const route = routes.find(checked.host, checked.path);
    if (route === undefined) {
      throw new results.FailureError('RouteUnknown');
    }
    const relayHeaders = readRelayHeaders(request.headers);
    const relayed = this.isFromDaemon(request) ? relayHeaders : undefined;
    const caller =
      relayed === undefined
        ? identifyCaller(request, routes, route, this.options.protocol)
        : readRelayedCaller(relayed, routes);
    const deadlineAt = this.computeDeadline(incoming, route);
    lifetime.setDeadline(deadlineAt);
    const accepted = { incoming, checked, routes, route, relayed, caller, deadlineAt };
    const mayRelay = relayHeaders === undefined;
    if (caller.organisation === undefined || relayed !== undefined) {
      await this.execute({ ...accepted, usageWaitMilliseconds: 0 }, mayRelay);
    } else {
      await this.executeWithinUsage(accepted, caller.organisation, mayRelay);
    }
  }

  /** Reports a request that ended before its first attempt; one that the parser rejected has no id. */
  reportUnsent(
    result: results.ResultName,
    { requestId = '', arrivedAt }: Partial<IncomingRequest>,
    known: Partial<RequestDecision> = {},
  ): void {
    const now = performance.now();
    this.options.onDecision({
      requestId,
      route: '',
      service: '',
      organisation: '',
      configurationVersion: this.options.findRoutes()?.configuration.version ?? 0,
      attempts: [],
      result,
      status: results.findResult(result).httpStatus,
      milliseconds: Math.round(now - (arrivedAt ?? now)),
      usageWaitMilliseconds: 0,
      remainingMilliseconds: 0,
      ...known,
    });
  }

  private async executeWithinUsage(
    known: Omit<AcceptedRequest, 'usageWaitMilliseconds'>,
    organisation: Organisation,
    mayRelay: boolean,
  ): Promise<void> {
    const { lifetime } = known.incoming;
    const waitsFrom = performance.now();
    const usage = await this.options.usageLimits.admit(organisation, lifetime.signal);
    const usageWaitMilliseconds = Math.round(performance.now() - waitsFrom);
    const accepted = { ...known, usageWaitMilliseconds };
    const { unsentFailure } = lifetime;
    if (unsentFailure !== undefined) {
      if (usage.kind === 'admitted') {
        usage.giveBack();
      }
      this.refuse(accepted, unsentFailure, undefined);
      return;
    }
    if (usage.kind === 'refused') {
      this.refuse(accepted, results.createFailure('OrganisationRateExceeded'), usage.retryAfter);
      return;
    }
    let hasArrived = false;
    try {
      const result = await this.execute(accepted, mayRelay);
      hasArrived = result.kind === 'answer' || result.hasArrived;
    } finally {
      if (!hasArrived) {
        usage.giveBack();
      }
    }
  }

  private async execute(
    {
      incoming,
      checked,
      routes,
      route,
      relayed,
      caller,
      deadlineAt,
      usageWaitMilliseconds,
    }: AcceptedRequest,
    mayRelay: boolean,
  ): Promise<RequestResult> {
    const { request, response, requestId, arrivedAt, lifetime } = incoming;
    const { protocol, slots, retryBudgets, hedging } = this.options;
    const { server } = this;
    lifetime.throwIfEnded();
    const responseShare = new MemoryShare(server.responseMemory);
    lifetime.onceClosed(() => responseShare.close());
    let body: BufferedBody | undefined;
    const attempts: AttemptRecord[] = [];
    try {
      body = await readBody(request, {
        contentLength: checked.contentLength,
        maximumBytes: routes.configuration.limits.bodyBytes,
        memoryShare: new MemoryShare(server.bodyMemory),
        signal: lifetime.signal,
      });
      lifetime.throwIfEnded();
      const context = {
        requestId,
        service: chooseService(route, relayed),
        route,
        organisation: caller.name,
        priority: computePriority(route, caller),
        method: checked.method,
        target: request.url ?? '/',
        headers: selectForwardedHeaders(request, protocol, routes.organisations !== undefined),
        body: body.bytes,
        deadlineAt,
        fingerprint: relayed?.fingerprint ?? computeFingerprint(request, body.bytes),
        relayed,
        mayRelay,
      };
      const requestResult = await executeRequest({
        context,
        slots,
        retryBudgets,
        hedging,
        attemptOptions: {
          pool: server.pool,
          protocol,
          responseMemory: responseShare,
          onUnreadableAnnouncement: this.options.onUnreadableAnnouncement,
        },
        onDescriptorShortage: server.onDescriptorShortage,
        signal: lifetime.signal,
        recordAttempt: (record) => attempts.push(record),
      });
      lifetime.end();
      const { status, result } = server.responder.sendResult(incoming, requestResult);
      server.unreadResponses.add({ response, lifetime, memoryShare: responseShare, deadlineAt });
      this.options.onDecision({
        requestId: requestId ?? '',
        route: route.name,
        service: context.service,
        organisation: caller.name ?? '',
        configurationVersion: routes.configuration.version,
        attempts,
        result,
        status,
        milliseconds: Math.round(performance.now() - arrivedAt),
        usageWaitMilliseconds,
        remainingMilliseconds: Math.round(deadlineAt - performance.now()),
      });
      return requestResult;
    } finally {
      body?.release();
    }
  }

  /** A caller that claims to be a daemon gains nothing: its request is only kept from being relayed. */
  private isFromDaemon({ socket }: http.IncomingMessage): boolean {
    return this.options.isDaemon(socket.remoteAddress ?? '');
  }

  private computeDeadline({ request, arrivedAt }: IncomingRequest, route: Route): number {
    const requestedMilliseconds =
      this.options.protocol.readDeadline(request.headers) ?? route.timeoutMilliseconds;
    const allowedMilliseconds = Math.min(requestedMilliseconds, route.timeoutMilliseconds);
    return Math.min(computeDeadline(arrivedAt, allowedMilliseconds), this.server.stopEndsAt());
  }

  private async findRoutes({
    request,
    lifetime,
  }: IncomingRequest): Promise<RouteIndex | undefined> {
    if (this.options.findRoutes() === undefined && !this.server.isRejecting()) {
      const deadlineMilliseconds = this.options.protocol.readDeadline(request.headers) ?? Infinity;
      const waitMilliseconds = Math.min(
        ROUTES_WAIT_MILLISECONDS,
        deadlineMilliseconds * ROUTES_WAIT_FRACTION,
      );
      await this.options.waitForRoutes(waitMilliseconds, lifetime.signal);
    }
    return this.options.findRoutes();
  }

  private rejectNotReady(incoming: IncomingRequest): void {
    this.server.responder.sendFailure(
      incoming,
      results.createFailure('NotReady'),
      NOT_READY_RETRY_MILLISECONDS,
      false,
    );
    this.reportUnsent('NotReady', incoming);
  }

  /** Refuses a request that no endpoint has got. */
  private refuse(
    { incoming, route, caller, usageWaitMilliseconds }: AcceptedRequest,
    failure: results.Failure,
    retryAfter: number | undefined,
  ): void {
    this.server.responder.sendFailure(incoming, failure, retryAfter, false);
    const organisation = caller.name ?? '';
    const known = { route: route.name, organisation, usageWaitMilliseconds };
    this.reportUnsent(failure.kind, incoming, known);
  }
}
