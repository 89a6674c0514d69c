/**
 * One HTTP exchange and its classification.
 */
import type * as undici from 'undici';
import { UploadBody } from './body.js';
import type { AttemptResult, OutcomeKind, ToldExecution } from './outcome.js';
import type { RequestClass } from './request-class.js';

const FIRST_ERROR_STATUS = 400;
const GIVE_UP_DEADLINES = 3;

/** Checks an answer body while it arrives. */
export interface AnswerVerifier {
  update(chunk: Uint8Array): void;
  finish(): 'complete' | 'cut' | 'foreign';
}

/** Creates the check of one answer. */
export type VerifierFactory = (token: string, answerBytes: number | undefined) => AnswerVerifier;

/** What one exchange needs. */
export interface Attempt {
  readonly dispatcher: undici.Dispatcher;
  readonly origin: string;
  readonly requestClass: RequestClass;
  readonly token: string;
  readonly idempotencyKey: string | undefined;
  readonly createVerifier: VerifierFactory | undefined;
  /** Monotonic time at which an answer becomes late. */
  readonly deadlineAt: number;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

function readHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readExecution(headers: Headers): ToldExecution {
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

function failWithout(answer: AttemptResult | undefined, kind: OutcomeKind): AttemptResult {
  return {
    status: undefined,
    told: undefined,
    idempotencyKey: undefined,
    requestId: undefined,
    ...answer,
    kind,
    failureCode: undefined,
  };
}

/** Reads the answer to its end; true when a complete answer is the caller's own. */
async function checkAnswer(
  attempt: Attempt,
  answer: undici.Dispatcher.ResponseData,
  body: UploadBody | undefined,
): Promise<'complete' | 'cut' | 'foreign'> {
  const verifier = attempt.createVerifier?.(attempt.token, attempt.requestClass.answerBytes);
  for await (const chunk of answer.body) {
    verifier?.update(chunk as Uint8Array);
  }
  const digest = readHeader(answer.headers, 'upload-digest');
  if (body !== undefined && digest !== undefined && digest !== body.digest()) {
    return 'foreign';
  }
  return verifier?.finish() ?? 'complete';
}

async function classify(
  attempt: Attempt,
  answer: undici.Dispatcher.ResponseData,
  body: UploadBody | undefined,
  head: AttemptResult,
): Promise<AttemptResult> {
  if (answer.statusCode >= FIRST_ERROR_STATUS) {
    await answer.body.dump();
    return head;
  }
  const finding = await checkAnswer(attempt, answer, body);
  if (finding !== 'complete') {
    const kind = finding === 'cut' ? 'truncated' : finding;
    return { ...head, kind, failureCode: undefined };
  }
  const kind = performance.now() <= attempt.deadlineAt ? 'ok' : 'late';
  return { ...head, kind, failureCode: undefined };
}

function readHead(answer: undici.Dispatcher.ResponseData): AttemptResult {
  const { headers, statusCode: status } = answer;
  return {
    kind: 'failure',
    status,
    failureCode: readHeader(headers, 'dogwoodstall-result') ?? `http-${status}`,
    told: readExecution(headers),
    idempotencyKey: readHeader(headers, 'idempotency-key'),
    requestId: readHeader(headers, 'request-id'),
  };
}

/** Sends one request and reads its answer; never throws. */
export async function runAttempt(attempt: Attempt): Promise<AttemptResult> {
  const { requestClass } = attempt;
  const giveUpMilliseconds =
    requestClass.giveUpMilliseconds ?? GIVE_UP_DEADLINES * requestClass.deadlineMilliseconds;
  const signal = AbortSignal.timeout(giveUpMilliseconds);
  const separator = requestClass.path.includes('?') ? '&' : '?';
  const body = createBody(attempt);
  let head: AttemptResult | undefined;
  try {
    const answer = await attempt.dispatcher.request({
      origin: attempt.origin,
      method: requestClass.method,
      path: `${requestClass.path}${separator}token=${encodeURIComponent(attempt.token)}`,
      headers: createHeaders(attempt),
      body: body as undici.Dispatcher.DispatchOptions['body'],
      signal,
    });
    head = readHead(answer);
    return await classify(attempt, answer, body, head);
  } catch {
    if (signal.aborted) {
      return failWithout(head, 'gave-up');
    }
    return failWithout(head, head === undefined ? 'no-answer' : 'cut');
  }
}
