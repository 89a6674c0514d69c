/**
 * Submits configuration changes through the administration API of randomly chosen daemons.
 */
import * as undici from 'undici';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { OPERATOR_TOKEN } from '../fleet/local-fleet.js';
import type { SeededRandom } from './seeded-random.js';

const CALL_TIMEOUT_MILLISECONDS = 15_000;

/** The outcome of one submitted change. */
export interface Submission {
  readonly id: string;
  readonly outcome: 'accepted' | 'conflict' | 'failed';
  readonly revision: number;
  /** Epoch milliseconds at which the response arrived. */
  readonly answeredAt: number;
}

/** Calls the administration API of a daemon as an operator. */
export async function callAdministration(
  daemon: DaemonProcess,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<{ readonly status: number; readonly body: unknown }> {
  const response = await undici.request(`http://${daemon.administrationAddress}${path}`, {
    method,
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
    headersTimeout: CALL_TIMEOUT_MILLISECONDS,
  });
  return { status: response.statusCode, body: await response.body.json() };
}

/** Submits changes that each put one organisation with a slightly higher weight. */
export class ChangeWriter {
  private count = 0;

  private readonly prefix: string;

  private readonly random: SeededRandom;

  constructor(prefix: string, random: SeededRandom) {
    this.prefix = prefix;
    this.random = random;
  }

  /** Submits a change on top of a base revision through a random one of the daemons. */
  async submit(
    daemons: readonly DaemonProcess[],
    baseRevision: number,
    entityName = 'writer',
  ): Promise<Submission> {
    this.count += 1;
    const id = `${this.prefix}-change-${this.count}`;
    const [daemon] = this.random.sample(daemons, 1);
    const failed = { id, outcome: 'failed', revision: 0, answeredAt: Date.now() } as const;
    if (daemon === undefined) {
      return failed;
    }
    const entity = { name: entityName, weight: 1 + this.count / 1000 };
    const draft = {
      id,
      baseRevision,
      author: 'measurement',
      reason: 'measures the spread of changes',
      operations: [{ action: 'put', kind: 'organisation', entity }],
    };
    try {
      const response = await callAdministration(daemon, 'POST', '/v1/changes', draft);
      const answeredAt = Date.now();
      if (response.status === 409) {
        return { ...failed, outcome: 'conflict', answeredAt };
      }
      const { revision } = response.body as { revision?: number };
      return response.status >= 300 || revision === undefined
        ? { ...failed, answeredAt }
        : { id, outcome: 'accepted', revision, answeredAt };
    } catch {
      return { ...failed, answeredAt: Date.now() };
    }
  }
}
