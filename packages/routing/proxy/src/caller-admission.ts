/**
 * From a caller's request to an exchange: checks, organisation, route, contract, body, and the issue
 * of idempotency keys.
 */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { type KeyIssuer, checkKeyOwner } from '@dogwoodstall/idempotency';
import type { Configuration, Service } from '@dogwoodstall/model';
import { type Failure, FailureError } from '@dogwoodstall/results';
import { ANSWERED } from './answer.js';
import type { BodyWatch } from './body-watch.js';
import { createDecision } from './decision.js';
import { openEntryBody } from './entry-body.js';
import type { EntryPlace } from './entry-limits.js';
import { Exchange } from './exchange.js';
import { EXECUTION, ORGANISATION_TOKEN, RESULT, selectRequestHeaders } from './headers.js';
import { checkRequest } from './request-check.js';

/** Organisation of callers without a token, where the contract allows them. */
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
  /** The incarnation that new keys of a service name; it dispatches the service's cell. */
  readonly chooseKeyHome: (service: string) => { home: string; incarnation: string };
  /** Availability zone of this daemon. */
  readonly zone: string;
  /** Unique in the fleet; begins each request id. */
  readonly requestPrefix: string;
}

/** A request of a caller. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly place: EntryPlace;
}

function readKey(request: IncomingMessage): string | undefined {
  const key = request.headers['idempotency-key'];
  return typeof key === 'string' ? key : undefined;
}

/** Whether a request asks for idempotency keys. */
export function isKeyRequest(request: IncomingMessage): boolean {
  const url = request.url ?? '';
  return url === KEY_PATH || url.startsWith(`${KEY_PATH}?`);
}

/** Admits requests of callers. */
export class CallerAdmission {
  private sequence = 0;

  private readonly digestByToken = new Map<string, string>();

  constructor(private readonly options: CallerAdmissionOptions) {}

  /** Returns a new request id. */
  nextRequestId(): string {
    this.sequence += 1;
    return `${this.options.requestPrefix}-${this.sequence.toString(RADIX)}`;
  }

  /** Checks a request and opens its exchange; rejects with the failure to tell. */
  async open(caller: CallerRequest, bodies: BodyWatch): Promise<Exchange> {
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
    caller.place.assign(organisation);
    const deadline = route.deadlineMilliseconds ?? service.contract.deadlineMilliseconds;
    const key = readKey(request);
    const refused = (): boolean =>
      !route.idempotent && !this.isUsableKey(key, organisation, service);
    const length = checked.contentLength;
    const body = await openEntryBody({ request, response, length, route, bodies, refused });
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
    bodies.watch(request, () => {
      exchange.abort(new FailureError('RequestBodyIncomplete', 'the body arrived too slowly'));
    });
    return exchange;
  }

  /** Returns the fresh key that goes with a refusal for want of one. */
  listExtraHeaders(exchange: Exchange, failure: Failure): Record<string, string> {
    if (failure.kind !== 'KeyRequired') {
      return {};
    }
    const { service, organisation } = exchange.facts;
    return { 'Idempotency-Key': this.issueKey(service, organisation) };
  }

  /** Answers a request for idempotency keys. */
  answerKeys(request: IncomingMessage, response: ServerResponse, requestId: string): void {
    const { method } = checkRequest(request);
    if (method !== 'POST') {
      throw new FailureError('RouteUnknown');
    }
    const configuration = this.requireConfiguration();
    const query = new URLSearchParams((request.url ?? '').split('?')[1] ?? '');
    const service = configuration.services.get(query.get('service') ?? '');
    const count = Number(query.get('count') ?? '1');
    if (service === undefined) {
      throw new FailureError('RouteUnknown', 'the service is not known');
    }
    if (!Number.isInteger(count) || count < 1 || count > MAXIMUM_KEYS) {
      throw new FailureError('RequestMalformed', `the count is not between 1 and ${MAXIMUM_KEYS}`);
    }
    const organisation = this.findOrganisation(configuration, service, request);
    const keys = Array.from({ length: count }, () => this.issueKey(service, organisation));
    response.writeHead(200, {
      'Content-Type': 'application/json',
      'Cache-Control': 'no-store',
      [RESULT]: ANSWERED,
      [EXECUTION]: 'ran',
      'Request-Id': requestId,
    });
    response.end(JSON.stringify({ keys }));
  }

  // The key is checked again where it is used; here it only decides whether a body is asked for.
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
    const token = request.headers[ORGANISATION_TOKEN];
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
    const known = this.digestByToken.get(token);
    if (known !== undefined) {
      return known;
    }
    if (this.digestByToken.size >= MAXIMUM_CACHED_TOKENS) {
      this.digestByToken.clear();
    }
    const digest = createHash('sha256').update(token).digest('hex');
    this.digestByToken.set(token, digest);
    return digest;
  }
}
