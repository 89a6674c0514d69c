/**
 * An HTTP client of the administration API.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as undici from 'undici';
import type {
  SubmissionResult,
  EntityPage,
  Explanation,
  FleetStatus,
  HistoryPage,
  Preview,
} from './administration-responses.js';
import { createResponseError } from './administration-error.js';

const REQUEST_TIMEOUT_MILLISECONDS = 35_000;
const MAXIMUM_SUBMIT_ATTEMPTS = 3;
const RETRY_DELAY_MILLISECONDS = 500;

/** The address of the administration API and the credentials to use it. */
export interface ClientOptions {
  /** Base URL, such as `http://192.0.2.1:8082` or `https://…`. */
  readonly address: string;
  readonly token: string;
  /** The certificate authority, in PEM, that signed the certificate of the API. */
  readonly authority?: string | undefined;
}

/** A request to restore an older revision. */
export interface RollbackRequest extends Omit<model.ChangeDraft, 'operations'> {
  /** The revision whose content is restored. */
  readonly revision: number;
}

// After such an error the change may have been accepted. Submitting it again with the same id
// returns the revision of the accepted change instead of applying it twice.
function isOutcomeUnknown(error: unknown): boolean {
  return (
    results.isFailure(error, 'AdministrationUnreachable') ||
    results.isFailure(error, 'ConfigurationOutcomeUnknown')
  );
}

// While the store is unavailable, a retry can not determine the outcome of the first submission.
function isStoreUnavailable(error: unknown): boolean {
  return results.isFailure(error, 'ConfigurationUnavailable');
}

/** Sends requests to the administration API of one daemon. */
export class AdministrationClient {
  private readonly agent: undici.Agent;

  constructor(private readonly options: ClientOptions) {
    this.agent = new undici.Agent({
      headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      ...(options.authority !== undefined && { connect: { ca: options.authority } }),
    });
  }

  /** Closes all connections to the API. */
  async close(): Promise<void> {
    await this.agent.close();
  }

  /** Returns one entity and the revision at which it was read. */
  async getEntity(
    kind: model.EntityKind,
    name: string,
  ): Promise<{ revision: number; entity: Record<string, unknown> }> {
    return this.call('GET', `/v1/configuration/${kind}/${encodeURIComponent(name)}`);
  }

  /** Returns the entities of a kind that the token may read. */
  async listEntities<Kind extends model.EntityKind>(
    kind: Kind,
  ): Promise<EntityPage<model.EntityByKind[Kind]>> {
    return this.call('GET', `/v1/configuration/${kind}`);
  }

  /**
   * Submits a change; retries with the same id when the outcome is unknown.
   *
   * Throws `AdministrationError` with the difference when later changes modified the same entities.
   */
  async submit(draft: model.ChangeDraftInput): Promise<SubmissionResult> {
    return this.callWithRetries('/v1/changes', draft);
  }

  /** Returns what a draft would change and the problems for which it would be rejected. */
  async preview(
    draft: Pick<model.ChangeDraftInput, 'baseRevision' | 'operations'>,
  ): Promise<Preview> {
    return this.call('POST', '/v1/changes/preview', draft);
  }

  /** Returns accepted changes after a revision. */
  async listChanges(after: number, limit: number): Promise<HistoryPage> {
    return this.call('GET', `/v1/changes?after=${after}&limit=${limit}`);
  }

  /** Restores the content of an older revision as a new one. */
  async rollBack(rollback: RollbackRequest): Promise<SubmissionResult> {
    return this.callWithRetries('/v1/rollback', rollback);
  }

  /** Returns the accepted revision and the active revision of each zone. */
  async getStatus(): Promise<FleetStatus> {
    return this.call('GET', '/v1/status');
  }

  /** Returns the state of endpoints, health, drains and members in the daemon. */
  async getDaemon(): Promise<Record<string, unknown>> {
    return this.call('GET', '/v1/daemon');
  }

  /** Returns the decisions about a request that this daemon has recorded. */
  async explain(requestId: string): Promise<Explanation> {
    return this.call('GET', `/v1/explain/${encodeURIComponent(requestId)}`);
  }

  private async callWithRetries(
    path: string,
    body: Pick<model.ChangeDraft, 'id' | 'baseRevision'>,
  ): Promise<SubmissionResult> {
    let outcomeUnknown = false;
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await this.call<SubmissionResult>('POST', path, body);
      } catch (error) {
        outcomeUnknown ||= isOutcomeUnknown(error);
        if (!outcomeUnknown || !(isOutcomeUnknown(error) || isStoreUnavailable(error))) {
          throw error;
        }
        if (attempt === MAXIMUM_SUBMIT_ATTEMPTS) {
          const kind = isOutcomeUnknown(error)
            ? results.toFailure(error).kind
            : 'ConfigurationOutcomeUnknown';
          const message = `${results.toFailure(error).message}; repeat the command with --id ${body.id} --base ${body.baseRevision} to find out whether the change was accepted`;
          throw new results.FailureError(kind, message, { cause: error });
        }
      }
      await delay(RETRY_DELAY_MILLISECONDS);
    }
  }

  private async call<Body>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Body> {
    const { status, text } = await this.send(method, path, body);
    let parsed: unknown;
    try {
      parsed = JSON.parse(text);
    } catch (error) {
      const message = `the response of ${this.options.address} with status ${status} is not JSON`;
      throw new results.FailureError('AdministrationAnswerInvalid', message, { cause: error });
    }
    if (status !== 200) {
      throw createResponseError(status, parsed);
    }
    return parsed as Body;
  }

  private async send(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<{ status: number; text: string }> {
    try {
      const response = await undici.request(`${this.options.address}${path}`, {
        method,
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${this.options.token}` },
        ...(body !== undefined && { body: JSON.stringify(body) }),
      });
      return { status: response.statusCode, text: await response.body.text() };
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const message = `${this.options.address} did not respond: ${reason}`;
      throw new results.FailureError('AdministrationUnreachable', message, { cause: error });
    }
  }
}
