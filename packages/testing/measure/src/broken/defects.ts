/**
 * The defect of each broken variant, injected by replacing methods of the product's classes.
 */
import { createRequire } from 'node:module';
import { fileURLToPath, pathToFileURL } from 'node:url';
import * as dispatch from '@dogwoodstall/dispatch';
import * as health from '@dogwoodstall/health';
import * as idempotency from '@dogwoodstall/idempotency';
import type * as model from '@dogwoodstall/model';
import { daemonProgram } from '../fleet/local-fleet.js';
import { truncateResponses, reportNotRun, swapResponses } from './corrupted-responses.js';

const SECOND_MILLISECONDS = 1000;
const REVERT_PERIOD_SECONDS = 3;

/** Injects a defect by replacing functions of the product in this process. */
export type Defect = () => void | Promise<void>;

/** Private members of `CellHealth` that the variant `floor-ignored` uses or replaces. */
interface PatchableHealth {
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

interface ProductClasses {
  readonly Daemon: { prototype: { stop(): Promise<void>; close(): Promise<void> } };
  readonly ConfigurationSynchroniser: { prototype: object };
}

/** Loads a package as the module instance that the product's program uses, so that patches take effect. */
async function loadProductModule(name: string): Promise<ProductClasses> {
  const modulePath = createRequire(fileURLToPath(daemonProgram)).resolve(name);
  return (await import(pathToFileURL(modulePath).href)) as ProductClasses;
}

function ignoreFloor(): void {
  const prototype = health.CellHealth.prototype as unknown as PatchableHealth;
  prototype.applyFloor = function applyNoFloor(this: PatchableHealth): health.HealthChange[] {
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
  health.CellHealth.prototype.finishAttempt = function ejectImmediately(attempt, outcome): void {
    finishAttempt.call(this, attempt, outcome);
    if (outcome.kind === 'server-error') {
      this.markLost(attempt.endpointName);
    }
  };
}

function repeatExecution(): void {
  idempotency.KeyHome.prototype.run = async (_use, attempt) => {
    await attempt({ begin: () => {}, proveNotRun: () => {} });
    return { source: 'attempt' };
  };
}

function ignoreDrains(): void {
  const { acquire } = dispatch.CellDispatcher.prototype;
  dispatch.CellDispatcher.prototype.acquire = async function acquireIgnoringDrain(request) {
    const grant = await acquire.call(this, request);
    return {
      endpoint: grant.endpoint,
      queuedMilliseconds: grant.queuedMilliseconds,
      release: (outcome) => grant.release({ ...outcome, draining: false }),
    };
  };
}

async function closeWithoutDrain(): Promise<void> {
  const { Daemon } = await loadProductModule('@dogwoodstall/daemon');
  Daemon.prototype.stop = function closeImmediately(): Promise<void> {
    return this.close();
  };
}

async function revertRevision(): Promise<void> {
  const { ConfigurationSynchroniser } = await loadProductModule(
    '@dogwoodstall/configuration-spread',
  );
  const { prototype } = ConfigurationSynchroniser;
  const readCurrent = Object.getOwnPropertyDescriptor(prototype, 'current')?.get;
  let earliest: model.Configuration | undefined;
  Object.defineProperty(prototype, 'current', {
    get(): model.Configuration | undefined {
      const current = readCurrent?.call(this) as model.Configuration | undefined;
      earliest ??= current;
      const second = Math.floor(performance.now() / SECOND_MILLISECONDS);
      return second % REVERT_PERIOD_SECONDS === 0 ? earliest : current;
    },
  });
}

/** Defects by the name of their variant. */
export const defects: Readonly<Record<string, Defect>> = {
  'floor-ignored': ignoreFloor,
  'answer-cut': truncateResponses,
  'answer-swapped': swapResponses,
  'not-run-told-falsely': reportNotRun,
  'second-execution': repeatExecution,
  'work-after-drain': ignoreDrains,
  'upload-cut-at-stop': closeWithoutDrain,
  'revision-lowered': revertRevision,
};
