/**
 * The initial configuration of a local fleet, written into the store as revision 1 of the change log.
 */
import { createHash } from 'node:crypto';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as undici from 'undici';
import type { Topology } from './topology.js';

const FIRST_CHANGE_KEY = 'dogwoodstall/changes/000000000001';

/** A running backend server with the address under which daemons reach it. */
export interface PlacedServer {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly connectionLimit: number;
}

/** Returns the organisation token that callers of an organisation send. */
export function callerTokenOf(organisation: string): string {
  return `caller-token-of-${organisation}`;
}

/** Returns the SHA-256 digest of a token in hexadecimal. */
export function digestToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

type OperationInput = model.ChangeDraftInput['operations'][number];

function createServiceOperations(topology: Topology): OperationInput[] {
  const operations: OperationInput[] = [];
  for (const { name, organisation, contract, routes } of topology.services) {
    const entity = { name, organisation, ...(contract === undefined ? {} : { contract }) };
    operations.push({ action: 'put', kind: 'service', entity });
    for (const route of routes) {
      operations.push({ action: 'put', kind: 'route', entity: { ...route, service: name } });
    }
  }
  return operations;
}

function createServerOperations(
  topology: Topology,
  servers: readonly PlacedServer[],
): OperationInput[] {
  return servers.map((server, index) => {
    const zone = topology.zones[index % topology.zones.length]?.name ?? '';
    return { action: 'put', kind: 'backendServer', entity: { ...server, zone } };
  });
}

/** Creates the change of revision 1, which puts every entity of a topology. */
export function createFirstChange(
  topology: Topology,
  servers: readonly PlacedServer[],
): model.Change {
  const organisations = new Set(topology.services.map((service) => service.organisation));
  const operations: OperationInput[] = [
    ...topology.zones.map((entity) => ({ action: 'put', kind: 'zone', entity }) as const),
    ...[...organisations].map((name) => {
      const callerTokenDigests = [digestToken(callerTokenOf(name))];
      const entity = { name, callerTokenDigests };
      return { action: 'put', kind: 'organisation', entity } as const;
    }),
    ...createServiceOperations(topology),
    ...createServerOperations(topology, servers),
  ];
  return model.changeSchema.parse({
    id: 'first-change',
    baseRevision: 0,
    revision: 1,
    author: 'local fleet',
    reason: 'first configuration',
    operations,
    acceptedAtEpochMilliseconds: Date.now(),
  });
}

/** Writes the change of revision 1 into the store; throws `StoreRejected`. */
export async function writeFirstChange(storeAddress: string, change: model.Change): Promise<void> {
  const encode = (text: string): string => Buffer.from(text).toString('base64');
  const response = await undici.request(`http://${storeAddress}/v3/kv/put`, {
    method: 'POST',
    body: JSON.stringify({ key: encode(FIRST_CHANGE_KEY), value: encode(JSON.stringify(change)) }),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    throw new results.FailureError('StoreRejected', text);
  }
}
