/**
 * Smoke test of a running fleet: a few requests to each of its routes.
 */
import * as load from '@dogwoodstall/load';
import * as standIns from '@dogwoodstall/stand-ins';
import { callerTokenOf } from './fleet/first-change.js';
import type { LocalFleet } from './fleet/local-fleet.js';

const CHECK_RATE = 20;
const CHECK_MILLISECONDS_PER_ROUTE = 300;
const CHECK_BODY_BYTES = 1000;

/** Returns a request class for each route of the fleet's topology. */
export function createRouteClasses(fleet: LocalFleet): load.RequestClass[] {
  return fleet.topology.services.flatMap((service) =>
    service.routes.map((route) => {
      const method = route.methods[0] ?? 'GET';
      return {
        name: route.name,
        weight: 1,
        method,
        path: `${route.pathPrefix}/1?work=5`,
        host: route.host,
        organisationToken: callerTokenOf(service.organisation),
        bodyBytes: method === 'GET' ? 0 : CHECK_BODY_BYTES,
        idempotent: route.idempotent,
        deadlineMilliseconds: 5000,
      };
    }),
  );
}

/** Sends a few requests to every route; returns the report and whether all of them succeeded. */
export async function checkFleet(
  fleet: LocalFleet,
  seed: number,
): Promise<{ passed: boolean; report: string }> {
  const reports: string[] = [];
  let passed = true;
  // One load per route, since a mixed load of a few requests could miss a route.
  for (const requestClass of createRouteClasses(fleet)) {
    const result = await load.runLoad({
      targets: [fleet.callerAddress],
      classes: [requestClass],
      arrivals: 'constant',
      profile: load.createFlatProfile(CHECK_RATE),
      durationMilliseconds: CHECK_MILLISECONDS_PER_ROUTE,
      seed,
      createVerifier: standIns.createVerifier,
    });
    const { total } = result.summary;
    const completed = total.count('ok') + total.count('late');
    passed = passed && total.requests > 0 && completed === total.requests;
    reports.push(load.formatTextReport(`check of route ${requestClass.name}`, result));
  }
  const { keys } = await fleet.readExecutions();
  const repeated = Object.values(keys).filter((executions) => executions.started > 1);
  return { passed: passed && repeated.length === 0, report: reports.join('\n') };
}
