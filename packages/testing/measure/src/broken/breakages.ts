/**
 * What each broken variant replaces in the classes of the product.
 */
import { createRequire } from 'node:module';
import { fileURLToPath, pathToFileURL } from 'node:url';
import * as dispatch from '@dogwoodstall/dispatch';
import * as health from '@dogwoodstall/health';
import * as idempotency from '@dogwoodstall/idempotency';
import type * as model from '@dogwoodstall/model';
import { daemonProgram } from '../fleet/local-fleet.js';
import { cutAnswers, relabelNotKnown, swapAnswers } from './broken-answers.js';

const SECOND_MILLISECONDS = 1000;
const LOWERED_EVERY_SECONDS = 3;

/** Replaces functions of the product in this process. */
export type Breakage = () => void | Promise<void>;

/** The parts of the health of a cell that the variant of the floor replaces. */
interface OpenHealth {
  readonly records: ReadonlyMap<
    string,
    {
      readonly lifecycle: {
        readonly ejection: { enforced: boolean } | undefined;
        applyEjection(now: number): health.HealthChange | undefined;
      };
    }
  >;
  applyFloor(): health.HealthChange[];
}

interface LoadedClasses {
  readonly Daemon: { prototype: { stop(): Promise<void>; close(): Promise<void> } };
  readonly ConfigurationSynchroniser: { prototype: object };
}

/** Loads a package that the product's program uses, as the same module instance. */
async function loadFromProduct(name: string): Promise<LoadedClasses> {
  const required = createRequire(fileURLToPath(daemonProgram)).resolve(name);
  return (await import(pathToFileURL(required).href)) as LoadedClasses;
}

function ignoreFloor(): void {
  const prototype = health.CellHealth.prototype as unknown as OpenHealth;
  prototype.applyFloor = function applyNoFloor(this: OpenHealth): health.HealthChange[] {
    const changes: health.HealthChange[] = [];
    for (const { lifecycle } of this.records.values()) {
      if (lifecycle.ejection !== undefined) {
        lifecycle.ejection.enforced = true;
      }
      const change = lifecycle.applyEjection(performance.now());
      if (change !== undefined) {
        changes.push(change);
      }
    }
    return changes;
  };
  const { finishAttempt } = health.CellHealth.prototype;
  health.CellHealth.prototype.finishAttempt = function ejectAtOnce(attempt, outcome): void {
    finishAttempt.call(this, attempt, outcome);
    if (outcome.kind === 'server-error') {
      this.markLost(attempt.endpointName);
    }
  };
}

function executeAgain(): void {
  idempotency.KeyHome.prototype.run = async (_use, attempt) => {
    await attempt({ begin: () => {}, proveNotRun: () => {} });
    return { source: 'attempt' };
  };
}

function ignoreDrains(): void {
  const { acquire } = dispatch.CellDispatcher.prototype;
  dispatch.CellDispatcher.prototype.acquire = async function acquireDeaf(request) {
    const grant = await acquire.call(this, request);
    return {
      endpoint: grant.endpoint,
      queuedMilliseconds: grant.queuedMilliseconds,
      release: (outcome) => grant.release({ ...outcome, draining: false }),
    };
  };
}

async function stopAtOnce(): Promise<void> {
  const { Daemon } = await loadFromProduct('@dogwoodstall/daemon');
  Daemon.prototype.stop = function closeAtOnce(): Promise<void> {
    return this.close();
  };
}

async function lowerRevision(): Promise<void> {
  const { ConfigurationSynchroniser } = await loadFromProduct('@dogwoodstall/configuration-spread');
  const { prototype } = ConfigurationSynchroniser;
  const readCurrent = Object.getOwnPropertyDescriptor(prototype, 'current')?.get;
  let earliest: model.Configuration | undefined;
  Object.defineProperty(prototype, 'current', {
    get(): model.Configuration | undefined {
      const current = readCurrent?.call(this) as model.Configuration | undefined;
      earliest ??= current;
      const second = Math.floor(performance.now() / SECOND_MILLISECONDS);
      return second % LOWERED_EVERY_SECONDS === 0 ? earliest : current;
    },
  });
}

/** The breakages by the name of their variant. */
export const breakages: Readonly<Record<string, Breakage>> = {
  'floor-ignored': ignoreFloor,
  'answer-cut': cutAnswers,
  'answer-swapped': swapAnswers,
  'not-run-told-falsely': relabelNotKnown,
  'second-execution': executeAgain,
  'work-after-drain': ignoreDrains,
  'upload-cut-at-stop': stopAtOnce,
  'revision-lowered': lowerRevision,
};
