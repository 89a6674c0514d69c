/**
 * The initial configuration of the tests: two organisations with tokens, services and routes.
 */
import * as model from '@dogwoodstall/model';
import { digestToken } from '../src/index.js';

export const tokens = { operator: 'operator-token', shop: 'shop-token', bank: 'bank-token' };

const contract = model.contractSchema.parse({});

/** Returns a route to the service of an organisation. */
export function createRoute(name: string, organisation: string, host: string): model.Route {
  return model.routeSchema.parse({
    name,
    service: `${organisation}-web`,
    host,
    pathPrefix: '/pages',
    methods: ['GET'],
    idempotent: true,
  });
}

export const firstOperations: model.Operation[] = [
  { action: 'put', kind: 'zone', entity: { name: 'zone-a', region: 'north' } },
  ...(['shop', 'bank'] as const).flatMap((name): model.Operation[] => [
    {
      action: 'put',
      kind: 'organisation',
      entity: {
        name,
        weight: 1,
        administratorTokenDigests: [digestToken(tokens[name])],
        callerTokenDigests: [digestToken(`${name}-caller`)],
      },
    },
    {
      action: 'put',
      kind: 'service',
      entity: { name: `${name}-web`, organisation: name, contract },
    },
    { action: 'put', kind: 'route', entity: createRoute(`${name}-root`, name, `${name}.example`) },
  ]),
];
