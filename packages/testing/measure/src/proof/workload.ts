/**
 * The fleet and the load of the randomised runs: three zones, two organisations, short and long reads,
 * uploads, confirmations and contributions.
 */
import type * as load from '@dogwoodstall/load';
import { callerTokenOf } from '../fleet/first-change.js';
import type { ProxiedLink, RouteDescription, Topology } from '../fleet/topology.js';

/** `stop.balancerMilliseconds` of the daemons. */
export const BALANCER_MILLISECONDS = 1000;

const ZONES = ['recife-a', 'fortaleza-b', 'salvador-c'];
const UPLOAD_BYTES = 200_000;
const UPLOAD_MILLISECONDS = 1500;
const LONG_ANSWER_BYTES = 300_000;
const LONG_WORK_MILLISECONDS = 300;

function describeRoute(
  name: string,
  host: string,
  methods: readonly string[],
  idempotent = true,
): RouteDescription {
  return { name, host, pathPrefix: `/${name}`, methods: [...methods], idempotent };
}

/** Returns the fleet. */
export function createProofTopology(
  daemonsPerZone: number,
  proxied: readonly ProxiedLink[],
): Topology {
  const size = { slots: 4, connectionLimit: 390, workMilliseconds: 15 };
  return {
    zones: ZONES.map((name) => ({ name, region: 'nordeste' })),
    daemonsPerZone,
    proxied,
    balancerMilliseconds: BALANCER_MILLISECONDS,
    services: [
      {
        ...size,
        name: 'avaliacao',
        organisation: 'sertao',
        serverCount: 5,
        routes: [
          describeRoute('prices', 'avaliacao.test', ['GET']),
          describeRoute('confirmations', 'avaliacao.test', ['POST'], false),
        ],
      },
      {
        ...size,
        name: 'arquivo',
        organisation: 'sertao',
        serverCount: 4,
        contract: { deadlineMilliseconds: 20_000, sizeClass: 'long' },
        routes: [describeRoute('documents', 'arquivo.test', ['GET', 'PUT'])],
      },
      {
        ...size,
        name: 'potbeheer',
        organisation: 'cadeaupot',
        serverCount: 4,
        routes: [
          describeRoute('pots', 'potbeheer.test', ['GET']),
          describeRoute('contributions', 'potbeheer.test', ['POST'], false),
        ],
      },
    ],
  };
}

const read = { method: 'GET', idempotent: true, deadlineMilliseconds: 2000 } as const;

const keyed = {
  method: 'POST',
  idempotent: false,
  bodyBytes: 200,
  deadlineMilliseconds: 2000,
} as const;

const sertao = callerTokenOf('sertao');
const cadeaupot = callerTokenOf('cadeaupot');

/** The classes of the mixed load. */
export const mixedClasses: readonly load.RequestClass[] = [
  {
    ...read,
    name: 'prices',
    weight: 40,
    path: '/prices/1',
    host: 'avaliacao.test',
    organisationToken: sertao,
  },
  {
    ...read,
    name: 'pots',
    weight: 25,
    path: '/pots/1?answer=2000&chunked=1',
    responseBytes: 2000,
    host: 'potbeheer.test',
    organisationToken: cadeaupot,
  },
  {
    ...read,
    name: 'long-reads',
    weight: 3,
    path: `/documents/1?work=${LONG_WORK_MILLISECONDS}&answer=${LONG_ANSWER_BYTES}`,
    responseBytes: LONG_ANSWER_BYTES,
    host: 'arquivo.test',
    organisationToken: sertao,
    deadlineMilliseconds: 8000,
    giveUpMilliseconds: 10_000,
  },
  {
    name: 'uploads',
    weight: 2,
    method: 'PUT',
    path: '/documents/2',
    host: 'arquivo.test',
    organisationToken: sertao,
    idempotent: true,
    bodyBytes: UPLOAD_BYTES,
    bodyMilliseconds: UPLOAD_MILLISECONDS,
    deadlineMilliseconds: 8000,
    giveUpMilliseconds: 10_000,
  },
  {
    ...keyed,
    name: 'confirmations',
    weight: 18,
    path: '/confirmations/1',
    host: 'avaliacao.test',
    organisationToken: sertao,
  },
  {
    ...keyed,
    name: 'contributions',
    weight: 12,
    path: '/contributions/1',
    host: 'potbeheer.test',
    organisationToken: cadeaupot,
  },
];

/** The classes of the measurement of at-most-once execution: half of the requests have keys. */
export const keyedClasses: readonly load.RequestClass[] = mixedClasses.filter(
  ({ name }) => name !== 'uploads' && name !== 'long-reads',
);
