/**
 * Admits caller requests: validates each one, resolves its organisation, route and contract, opens its
 * body, and issues idempotency keys.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { type KeyIssuer, checkKeyOwner } from '@dogwoodstall/idempotency';
import type { Configuration, Service } from '@dogwoodstall/model';
import { type Failure, FailureError } from '@dogwoodstall/results';
import { BACKEND_RESPONSE_RESULT } from './failure-response.js';
import type { BodyStallDetector } from './body-stall-detector.js';
import { createDecision } from './decision.js';
import { openEntryBody } from './entry-body.js';
import type { EntryReservation } from './entry-limiter.js';
import { Exchange } from './exchange.js';
import {
  EXECUTION_HEADER,
  ORGANISATION_TOKEN_HEADER,
  RESULT_HEADER,
  selectRequestHeaders,
} from './headers.js';
import { checkRequest } from './request-check.js';

/** Organisation of callers without a token, where the service contract allows them. */
export const ANONYMOUS = 'anonymous';

/** `POST` on this path with `?service=NAME&count=N` issues idempotency keys. */
export const KEY_PATH = '/.well-known/dogwoodstall/idempotency-keys';
const MAXIMUM_KEYS = 100;
const MAXIMUM_CACHED_TOKENS = 10_000;
const RADIX = 36;

/** Options of `CallerAdmission`. */
export interface CallerAdmissionOptions {
  readonly findConfiguration: () => Configuration | undefined;
  readonly keyIssuer: KeyIssuer;
  /** Selects the key home of new keys of a service: the incarnation that dispatches its cell. */
  readonly chooseKeyHome: (service: string) => { home: string; incarnation: string };
  /** Availability zone of this daemon. */
  readonly zone: string;
  /** Prefix of each request id; unique in the fleet. */
  readonly requestPrefix: string;
}

/** A caller request with its entry reservation. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly reservation: EntryReservation;
}

function readIdempotencyKey(request: IncomingMessage): string | undefined {
  const key = request.headers['idempotency-key'];
  return typeof key === 'string' ? key : undefined;
}

/** Whether a request is for idempotency keys. */
export function isKeyRequest(request: IncomingMessage): boolean {
  const url = request.url ?? '';
  return url === KEY_PATH || url.startsWith(`${KEY_PATH}?`);
}

/** Turns caller requests into exchanges. */
export class CallerAdmission {
  private sequence = 0;

  private readonly digestByToken = new Map<string, string>();

  constructor(private readonly options: CallerAdmissionOptions) {}

  /** Creates a request id. */
  nextRequestId(): string {
    this.sequence += 1;
    return `${this.options.requestPrefix}-${this.sequence.toString(RADIX)}`;
  }

  /** Validates a request and opens its exchange; rejects with the failure to report. */
  async openExchange(caller: CallerRequest, stallDetector: BodyStallDetector): Promise<Exchange> {
    const { request, response, requestId } = caller;
    const arrivedAt = performance.now();
    const checked = checkRequest(request);
    const configuration = this.requireConfiguration();
    const route = configuration.routeTable.find(checked.host, checked.path, checked.method);
    const service = route && configuration.services.get(route.service);
    if (route === undefined || service === undefined) {
      throw new FailureError('RouteUnknown');
    }
    const organisation = this.findOrganisation(configuration, service, request);
    caller.reservation.assignOrganisation(organisation);
    const deadline = route.deadlineMilliseconds ?? service.contract.deadlineMilliseconds;
    const key = readIdempotencyKey(request);
    const hasUnusableKey = (): boolean =>
      !route.idempotent && !this.isUsableKey(key, organisation, service);
    const length = checked.contentLength;
    const body = await openEntryBody({
      request,
      response,
      length,
      route,
      stallDetector,
      hasUnusableKey,
    });
    const exchange = new Exchange(
      {
        requestId,
        route,
        service,
        organisation,
        method: checked.method,
        target: request.url ?? '',
        headers: selectRequestHeaders(request.rawHeaders),
        deadlineAt: arrivedAt + deadline,
        originZone: this.options.zone,
        hops: 0,
        idempotencyKey: key,
        cell: undefined,
      },
      request,
      response,
      body,
      createDecision(requestId, route.name, organisation, 0),
    );
    stallDetector.watch(request, () => {
      exchange.abort(new FailureError('RequestBodyIncomplete', 'the body arrived too slowly'));
    });
    return exchange;
  }

  /** Returns a fresh idempotency key as a header when a request was rejected for lack of one. */
  listExtraHeaders(exchange: Exchange, failure: Failure): Record<string, string> {
    if (failure.kind !== 'KeyRequired') {
      return {};
    }
    const { service, organisation } = exchange.context;
    return { 'Idempotency-Key': this.issueKey(service, organisation) };
  }

  /** Issues idempotency keys and sends them to the caller. */
  respondWithKeys(request: IncomingMessage, response: ServerResponse, requestId: string): void {
    const { method } = checkRequest(request);
    if (method !== 'POST') {
      throw new FailureError('RouteUnknown');
    }
    const configuration = this.requireConfiguration();
    const query = new URLSearchParams((request.url ?? '').split('?')[1] ?? '');
    const service = configuration.services.get(query.get('service') ?? '');
    const count = Number(query.get('count') ?? '1');
    if (service === undefined) {
      throw new FailureError('RouteUnknown', 'the service does not exist');
    }
    if (!Number.isInteger(count) || count < 1 || count > MAXIMUM_KEYS) {
      throw new FailureError(
        'RequestMalformed',
        `count must be an integer from 1 to ${MAXIMUM_KEYS}`,
      );
    }
    const organisation = this.findOrganisation(configuration, service, request);
    const keys = Array.from({ length: count }, () => this.issueKey(service, organisation));
    response.writeHead(200, {
      'Content-Type': 'application/json',
      'Cache-Control': 'no-store',
      [RESULT_HEADER]: BACKEND_RESPONSE_RESULT,
      [EXECUTION_HEADER]: 'ran',
      'Request-Id': requestId,
    });
    response.end(JSON.stringify({ keys }));
  }

  // Only decides whether to send 100 Continue; the key is verified again at its home.
  private isUsableKey(key: string | undefined, organisation: string, service: Service): boolean {
    try {
      checkKeyOwner(this.options.keyIssuer.verify(key ?? ''), organisation, service.name);
      return true;
    } catch {
      return false;
    }
  }

  private requireConfiguration(): Configuration {
    const configuration = this.options.findConfiguration();
    if (configuration === undefined) {
      throw new FailureError('NotReady');
    }
    return configuration;
  }

  private issueKey(service: Service, organisation: string): string {
    return this.options.keyIssuer.issue({
      ...this.options.chooseKeyHome(service.name),
      organisation,
      service: service.name,
      lifetimeMilliseconds: service.contract.keyLifetimeMilliseconds,
    });
  }

  private findOrganisation(
    configuration: Configuration,
    service: Service,
    request: IncomingMessage,
  ): string {
    const token = request.headers[ORGANISATION_TOKEN_HEADER];
    if (token === undefined && !service.contract.organisationRequired) {
      return ANONYMOUS;
    }
    const organisation =
      typeof token === 'string'
        ? configuration.findOrganisationByToken(this.digestToken(token))
        : undefined;
    if (organisation === undefined) {
      throw new FailureError('OrganisationUnknown');
    }
    return organisation.name;
  }

  private digestToken(token: string): string {
    const cached = this.digestByToken.get(token);
    if (cached !== undefined) {
      return cached;
    }
    if (this.digestByToken.size >= MAXIMUM_CACHED_TOKENS) {
      this.digestByToken.clear();
    }
    const digest = createHash('sha256').update(token).digest('hex');
    this.digestByToken.set(token, digest);
    return digest;
  }
}
