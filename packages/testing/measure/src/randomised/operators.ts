/**
 * Two operators that concurrently change the same entities through different daemons.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { DaemonProcess } from '../fleet/daemon-process.js';
import { callAdministration, type AdministrationResponse } from './administration.js';

const OPERATORS = 2;
const MAXIMUM_PAUSE_MILLISECONDS = 300;
const ACCEPTED_STATUS = 200;
const CONFLICT_STATUS = 409;

/** An accepted change, with the monotonic time at which its operator received the response. */
export interface AcceptedChange {
  readonly id: string;
  readonly revision: number;
  readonly acceptedAt: number;
}

interface VersionedEntity {
  readonly revision: number;
  readonly entity: Readonly<Record<string, unknown>>;
}

/** Options of `Operators`. */
export interface OperatorsOptions {
  readonly daemons: readonly DaemonProcess[];
  readonly organisations: readonly string[];
  readonly seed: number;
}

/** Simulates the operators of one run. */
export class Operators {
  readonly accepted: AcceptedChange[] = [];

  conflicts = 0;

  /** Number of changes without a response that states whether they were accepted. */
  unknownOutcomes = 0;

  private readonly random;

  private stopped = false;

  private loops: Promise<void>[] = [];

  constructor(private readonly options: OperatorsOptions) {
    this.random = xoroshiro128plus(options.seed);
  }

  start(): void {
    this.loops = Array.from({ length: OPERATORS }, (_, index) =>
      this.submitChanges(`operator-${index}`),
    );
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(uniformFloat64(this.random) * items.length)] as Item;
  }

  private async submitChanges(author: string): Promise<void> {
    for (let number = 1; !this.stopped; number += 1) {
      await this.submitChange(author, `${author}-change-${this.options.seed}-${number}`);
      await sleep(uniformFloat64(this.random) * MAXIMUM_PAUSE_MILLISECONDS);
    }
  }

  private async submitChange(author: string, id: string): Promise<void> {
    const name = this.pick(this.options.organisations);
    const path = `/v1/configuration/organisation/${name}`;
    const daemon = this.pick(this.options.daemons);
    const read = await callAdministration(daemon, 'GET', path);
    if (read?.status !== ACCEPTED_STATUS) {
      return;
    }
    const { revision, entity } = read.body as VersionedEntity;
    const query = new URLSearchParams({
      id,
      author,
      reason: 'randomised run',
      baseRevision: String(revision),
    });
    const weight = 1 + Math.floor(uniformFloat64(this.random) * 10);
    const write = `${path}?${query.toString()}`;
    let response = await callAdministration(daemon, 'PUT', write, { ...entity, weight });
    if (response === undefined || response.status > 500) {
      // A change is identified by its id: if it was accepted before, any daemon returns that acceptance.
      const other = this.pick(this.options.daemons);
      response = await callAdministration(other, 'PUT', write, { ...entity, weight });
    }
    this.recordResult(id, response);
  }

  private recordResult(id: string, response: AdministrationResponse | undefined): void {
    if (response?.status === ACCEPTED_STATUS) {
      const { revision } = response.body as { revision: number };
      this.accepted.push({ id, revision, acceptedAt: performance.now() });
    } else if (response?.status === CONFLICT_STATUS) {
      this.conflicts += 1;
    } else {
      this.unknownOutcomes += 1;
    }
  }
}
