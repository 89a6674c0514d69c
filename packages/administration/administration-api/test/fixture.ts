/**
 * An administration API on a loopback address, with a client.
 */
import { once } from 'node:events';
import * as http from 'node:http';
import { text } from 'node:stream/consumers';
import * as observability from '@dogwoodstall/observability';
import * as administration from '../src/index.js';
import type { EntityDifference } from '../src/index.js';
import { FakeConfigurationLog } from './fake-log.js';
import { firstOperations, tokens } from './first-configuration.js';

/** The status and parsed body of one response. */
export interface ApiResponse {
  readonly status: number;
  readonly body: Record<string, unknown> & {
    readonly error?: {
      readonly code: number;
      readonly name: string;
      readonly message: string;
      readonly difference?: readonly EntityDifference[];
    };
  };
}

/** An administration API with an in-memory configuration log. */
export class Fixture {
  readonly log = new FakeConfigurationLog();

  readonly published: number[] = [];

  readonly api: administration.AdministrationApi;

  private origin = '';

  private submissions = 0;

  constructor(changed: Partial<administration.AdministrationOptions> = {}) {
    const { log } = this;
    this.log.append({
      id: 'first-change',
      baseRevision: 0,
      author: 'test',
      reason: 'test',
      operations: firstOperations,
    });
    this.api = new administration.AdministrationApi({
      host: '127.0.0.1',
      port: 0,
      operatorTokenDigests: [administration.digestToken(tokens.operator)],
      daemonName: 'daemon-1',
      log: observability.createSilentLog().getLogger('administration'),
      currentConfiguration: () => log.lagging ?? log.current,
      commit: async (draft) => log.commit(draft),
      publish: (change) => this.published.push(change.revision),
      readChanges: async (after, limit) => log.changes.slice(after, after + limit),
      readRevision: async (revision) => log.readRevision(revision),
      fleetStatus: () => ({
        acceptedRevision: log.changes.length,
        storeKnowledgeAgeMilliseconds: 5,
        zones: [{ zone: 'zone-a', revisionInForce: 1, members: 2, lagging: [] }],
      }),
      daemonStatus: () => ({ endpoints: [] }),
      explain: (requestId) =>
        requestId === 'known'
          ? { requestId, service: 'shop-web', decisions: [{ dispatcher: 'daemon-2' }] }
          : undefined,
      ...changed,
    });
  }

  async start(): Promise<void> {
    const { port } = await this.api.listen();
    this.origin = `http://127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    await this.api.close();
  }

  async call(token: string, method: string, path: string, body?: unknown): Promise<ApiResponse> {
    const headers = { authorization: `Bearer ${token}` };
    const request = http.request(`${this.origin}${path}`, { method, headers });
    request.end(body === undefined ? undefined : JSON.stringify(body));
    const [response] = (await once(request, 'response')) as [http.IncomingMessage];
    const parsed = JSON.parse(await text(response)) as ApiResponse['body'];
    return { status: response.statusCode ?? 0, body: parsed };
  }

  async submit(
    token: string,
    operations: readonly unknown[],
    options: { id?: string; baseRevision?: number } = {},
  ): Promise<ApiResponse> {
    this.submissions += 1;
    return this.call(token, 'POST', '/v1/changes', {
      id: options.id ?? `change-number-${this.submissions}`,
      baseRevision: options.baseRevision ?? this.log.changes.length,
      author: 'tester',
      reason: 'test',
      operations,
    });
  }
}
