/**
 * Describes a local fleet: availability zones, daemons, services and their backend servers.
 */
import type * as model from '@dogwoodstall/model';

/** One route of a service; its field `service` is filled in from the service that lists it. */
export type RouteDescription = Omit<
  Extract<model.ChangeDraftInput['operations'][number], { kind: 'route'; action: 'put' }>['entity'],
  'service'
>;

/** Contract of a service, in the form that operators submit. */
export type ContractDescription = Extract<
  model.ChangeDraftInput['operations'][number],
  { kind: 'service'; action: 'put' }
>['entity']['contract'];

/** One service; its backend servers run in one process. */
export interface ServiceDescription {
  readonly name: string;
  readonly organisation: string;
  readonly contract?: ContractDescription;
  readonly routes: readonly RouteDescription[];
  readonly serverCount: number;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Service time of requests that do not specify one. */
  readonly workMilliseconds?: number;
  /** Relative spread around the service time. */
  readonly variation?: number;
  readonly coldStartFactor?: number;
  readonly coldStartMilliseconds?: number;
}

/** Kinds of links that can be routed through the fault-injecting proxy. */
export type ProxiedLink = 'peer' | 'backend' | 'store';

/** A complete local fleet. */
export interface Topology {
  readonly zones: readonly { readonly name: string; readonly region: string }[];
  readonly daemonsPerZone: number;
  readonly services: readonly ServiceDescription[];
  readonly proxied?: readonly ProxiedLink[];
  /** Delay until a change of the list of VMs becomes visible. */
  readonly machineListLagMilliseconds?: number;
  /** `stop.balancerMilliseconds` of the daemons. */
  readonly balancerMilliseconds?: number;
}

/** Returns a small fleet in three zones with one service of short and one of long requests. */
export function createExampleTopology(): Topology {
  const shared = { organisation: 'sertao', slots: 2, connectionLimit: 330 };
  return {
    zones: ['recife-a', 'fortaleza-b', 'salvador-c'].map((name) => ({ name, region: 'nordeste' })),
    daemonsPerZone: 1,
    services: [
      {
        ...shared,
        name: 'avaliacao',
        serverCount: 6,
        routes: [
          {
            name: 'prices',
            host: 'avaliacao.test',
            pathPrefix: '/prices',
            methods: ['GET'],
            idempotent: true,
          },
          {
            name: 'confirmations',
            host: 'avaliacao.test',
            pathPrefix: '/confirmations',
            methods: ['POST'],
            idempotent: false,
          },
        ],
      },
      {
        ...shared,
        name: 'arquivo',
        serverCount: 3,
        contract: { deadlineMilliseconds: 60_000, sizeClass: 'long' },
        routes: [
          {
            name: 'documents',
            host: 'arquivo.test',
            pathPrefix: '/documents',
            methods: ['GET', 'PUT'],
            idempotent: true,
          },
        ],
      },
    ],
  };
}
