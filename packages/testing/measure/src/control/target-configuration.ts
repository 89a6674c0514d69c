/**
 * The cost of a configuration of the target size in one process.
 */
import * as v8 from 'node:v8';
import * as virtualMachine from 'node:vm';
import * as model from '@dogwoodstall/model';
import { roundFigure, type Figures, type MeasurementContext } from '../measurement.js';
import { targetZones } from './fleets.js';

const ORGANISATIONS = 31_000;
const SERVICES = 370;
const SERVERS = 9800;
const ROUTES = 5800;
const SMALL_ROUTES = 58;
const LOOKUPS = 20_000;
const APPLICATIONS = 20;
const BYTES_PER_MEGABYTE = 1_000_000;
const DIGEST_DIGITS = 64;

/** Returns the operations that create a configuration of the target size multiplied by `scale`. */
export function createOperations(scale: number): model.Operation[] {
  const operations: model.Operation[] = targetZones.map((entity) => ({
    action: 'put',
    kind: 'zone',
    entity,
  }));
  const organisations = Math.max(1, Math.round(ORGANISATIONS * scale));
  const services = Math.max(1, Math.round(SERVICES * scale));
  const put = (kind: model.EntityKind, entity: object): void => {
    operations.push(model.operationSchema.parse({ action: 'put', kind, entity }));
  };
  for (let index = 0; index < organisations; index += 1) {
    const digest = index.toString(16).padStart(DIGEST_DIGITS, '0');
    put('organisation', { name: `organisation-${index}`, callerTokenDigests: [digest] });
  }
  for (let index = 0; index < services; index += 1) {
    const organisation = `organisation-${index % organisations}`;
    put('service', { name: `service-${index}`, organisation });
  }
  for (let index = 0; index < Math.round(SERVERS * scale); index += 1) {
    put('backendServer', {
      name: `server-${index}`,
      service: `service-${index % services}`,
      address: `10.${Math.floor(index / 250)}.${index % 250}.1:8080`,
      zone: targetZones[index % targetZones.length]?.name,
      slots: 4,
      connectionLimit: 390,
    });
  }
  for (let index = 0; index < Math.round(ROUTES * scale); index += 1) {
    const service = index % services;
    put('route', {
      name: `route-${index}`,
      service: `service-${service}`,
      host: `service-${service}.test`,
      pathPrefix: `/part-${index}/items`,
      methods: ['GET', 'POST'],
      idempotent: index % 2 === 0,
    });
  }
  return operations;
}

function collectGarbage(): void {
  v8.setFlagsFromString('--expose-gc');
  (virtualMachine.runInNewContext('gc') as () => void)();
}

function measureHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function measureMeanMilliseconds(count: number, run: (index: number) => void): number {
  const startedAt = performance.now();
  for (let index = 0; index < count; index += 1) {
    run(index);
  }
  return (performance.now() - startedAt) / count;
}

function measureLookup(configuration: model.Configuration, routes: number): number {
  const services = [...configuration.services.keys()].length;
  const findRoute = (index: number): void => {
    const route = index % routes;
    const host = `service-${route % services}.test`;
    if (configuration.routeTable.find(host, `/part-${route}/items/1`, 'GET') === undefined) {
      throw new Error(`no route ${route}`);
    }
  };
  measureMeanMilliseconds(LOOKUPS, findRoute);
  return measureMeanMilliseconds(LOOKUPS, findRoute) * 1000;
}

/** Measures memory, the time to apply one change and the time to look up a route. */
export async function measureTargetConfiguration(context: MeasurementContext): Promise<Figures> {
  const before = measureHeap();
  const full = model.Configuration.fromOperations(1, createOperations(1));
  const megabytes = (measureHeap() - before) / BYTES_PER_MEGABYTE;
  const small = model.Configuration.fromOperations(1, createOperations(SMALL_ROUTES / ROUTES));
  let current = full;
  const applyMilliseconds = measureMeanMilliseconds(APPLICATIONS, (index) => {
    current = current.apply({
      id: `measured-change-${index}`,
      baseRevision: current.revision,
      revision: current.revision + 1,
      author: 'measurement',
      reason: 'time of one change',
      acceptedAtEpochMilliseconds: 0,
      operations: [
        model.operationSchema.parse({
          action: 'put',
          kind: 'organisation',
          entity: { name: `organisation-${index}`, weight: 2 },
        }),
      ],
    });
  });
  const bytes = Buffer.byteLength(JSON.stringify(full.toOperations()));
  const figures = {
    targetConfigurationHeapMegabytes: roundFigure(megabytes),
    targetConfigurationTextMegabytes: roundFigure(bytes / BYTES_PER_MEGABYTE),
    targetConfigurationApplyMilliseconds: roundFigure(applyMilliseconds),
    targetConfigurationLookupMicroseconds: roundFigure(measureLookup(full, ROUTES)),
    smallConfigurationLookupMicroseconds: roundFigure(measureLookup(small, SMALL_ROUTES)),
  };
  context.print(JSON.stringify(figures));
  return figures;
}
