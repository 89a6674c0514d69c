/**
 * Sends one HTTP request and classifies its outcome.
 */
import type * as undici from 'undici';
import { UploadBody } from './upload-body.js';
import type { AttemptResult, OutcomeKind, ReportedExecution } from './outcome.js';
import type { RequestClass } from './request-class.js';

const FIRST_ERROR_STATUS = 400;
const GIVE_UP_DEADLINES = 3;

/** Verifies a response body as it arrives. */
export interface ResponseVerifier {
  update(chunk: Uint8Array): void;
  finish(): 'complete' | 'cut' | 'foreign';
}

/** Creates the verifier of one response. */
export type VerifierFactory = (
  token: string,
  responseBytes: number | undefined,
) => ResponseVerifier;

/** Parameters of one HTTP exchange. */
export interface Attempt {
  readonly dispatcher: undici.Dispatcher;
  readonly origin: string;
  readonly requestClass: RequestClass;
  readonly token: string;
  readonly idempotencyKey: string | undefined;
  readonly createVerifier: VerifierFactory | undefined;
  /** Monotonic time after which a complete response counts as late. */
  readonly deadlineAt: number;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

function readHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readExecution(headers: Headers): ReportedExecution {
  const value = readHeader(headers, 'dogwoodstall-execution');
  return value === 'ran' || value === 'not-run' || value === 'not-known' ? value : undefined;
}

function createHeaders(attempt: Attempt): Record<string, string> {
  const { requestClass, idempotencyKey } = attempt;
  const headers: Record<string, string> = { ...requestClass.headers };
  if (requestClass.host !== undefined) {
    headers.host = requestClass.host;
  }
  if (requestClass.organisationToken !== undefined) {
    headers['dogwoodstall-organisation-token'] = requestClass.organisationToken;
  }
  if (idempotencyKey !== undefined) {
    headers['idempotency-key'] = idempotencyKey;
  }
  if ((requestClass.bodyBytes ?? 0) > 0) {
    headers['content-length'] = String(requestClass.bodyBytes);
  }
  return headers;
}

function createBody({ requestClass, token }: Attempt): UploadBody | undefined {
  const bytes = requestClass.bodyBytes ?? 0;
  return bytes > 0 ? new UploadBody(token, bytes, requestClass.bodyMilliseconds ?? 0) : undefined;
}

function createFailure(head: AttemptResult | undefined, kind: OutcomeKind): AttemptResult {
  return {
    status: undefined,
    reportedExecution: undefined,
    idempotencyKey: undefined,
    requestId: undefined,
    ...head,
    kind,
    failureCode: undefined,
  };
}

/** Reads the response to its end and verifies that it is complete and belongs to the request. */
async function verifyResponse(
  attempt: Attempt,
  response: undici.Dispatcher.ResponseData,
  body: UploadBody | undefined,
): Promise<'complete' | 'cut' | 'foreign'> {
  const verifier = attempt.createVerifier?.(attempt.token, attempt.requestClass.responseBytes);
  for await (const chunk of response.body) {
    verifier?.update(chunk as Uint8Array);
  }
  const digest = readHeader(response.headers, 'upload-digest');
  if (body !== undefined && digest !== undefined && digest !== body.digest()) {
    return 'foreign';
  }
  return verifier?.finish() ?? 'complete';
}

async function classify(
  attempt: Attempt,
  response: undici.Dispatcher.ResponseData,
  body: UploadBody | undefined,
  head: AttemptResult,
): Promise<AttemptResult> {
  if (response.statusCode >= FIRST_ERROR_STATUS) {
    await response.body.dump();
    return head;
  }
  const status = await verifyResponse(attempt, response, body);
  if (status !== 'complete') {
    const kind = status === 'cut' ? 'truncated' : status;
    return { ...head, kind, failureCode: undefined };
  }
  const kind = performance.now() <= attempt.deadlineAt ? 'ok' : 'late';
  return { ...head, kind, failureCode: undefined };
}

function readResponseHead(response: undici.Dispatcher.ResponseData): AttemptResult {
  const { headers, statusCode: status } = response;
  return {
    kind: 'failure',
    status,
    failureCode: readHeader(headers, 'dogwoodstall-result') ?? `http-${status}`,
    reportedExecution: readExecution(headers),
    idempotencyKey: readHeader(headers, 'idempotency-key'),
    requestId: readHeader(headers, 'request-id'),
  };
}

/** Sends one request and reads its response; never throws. */
export async function runAttempt(attempt: Attempt): Promise<AttemptResult> {
  const { requestClass } = attempt;
  const giveUpMilliseconds =
    requestClass.giveUpMilliseconds ?? GIVE_UP_DEADLINES * requestClass.deadlineMilliseconds;
  const signal = AbortSignal.timeout(giveUpMilliseconds);
  const separator = requestClass.path.includes('?') ? '&' : '?';
  const body = createBody(attempt);
  let head: AttemptResult | undefined;
  try {
    const response = await attempt.dispatcher.request({
      origin: attempt.origin,
      method: requestClass.method,
      path: `${requestClass.path}${separator}token=${encodeURIComponent(attempt.token)}`,
      headers: createHeaders(attempt),
      body: body as undici.Dispatcher.DispatchOptions['body'],
      signal,
    });
    head = readResponseHead(response);
    return await classify(attempt, response, body, head);
  } catch {
    if (signal.aborted) {
      return createFailure(head, 'gave-up');
    }
    return createFailure(head, head === undefined ? 'no-answer' : 'cut');
  }
}
