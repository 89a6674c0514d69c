/**
 * Checks of the organisations of a configuration: tokens that several share or none has, and usage caps that contradict
 * themselves.
 */
import type { TrafficConfiguration } from './configuration.js';
import { type Finding, createFinding } from './finding.js';
import type { Organisation } from './organisation.js';
import { findRepeated } from './repeated-names.js';

function checkTokens(organisations: readonly Organisation[]): Finding[] {
  const ownerByDigest = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { name, tokenDigests } of organisations) {
    const subject = `organisation/${name}`;
    if (tokenDigests.length === 0) {
      const message = 'it has no token, so that its callers are refused';
      findings.push(createFinding('OrganisationWithoutToken', subject, message));
    }
    for (const digest of tokenDigests) {
      const owner = ownerByDigest.get(digest);
      if (owner === undefined) {
        ownerByDigest.set(digest, name);
      } else {
        const sharing = owner === name ? 'is listed twice' : `is also one of "${owner}"`;
        findings.push(
          createFinding('TokenShared', subject, `the token with digest ${digest} ${sharing}`),
        );
      }
    }
  }
  return findings;
}

function checkUsage({ name, requestsPerSecond, burst }: Organisation): Finding[] {
  const subject = `organisation/${name}`;
  if (requestsPerSecond === 0 && burst > 0) {
    const message = `a burst of ${burst} has no effect, since requestsPerSecond is 0, which means no limit`;
    return [createFinding('BurstWithoutRate', subject, message)];
  }
  if (burst < requestsPerSecond) {
    const message = `a burst of ${burst} is less than what ${requestsPerSecond} requests/s bring in a second, so that uneven arrivals are refused below the rate`;
    return [createFinding('BurstBelowRate', subject, message)];
  }
  return [];
}

function checkAnonymous({ routes, organisations }: TrafficConfiguration): Finding[] {
  const anonymous = routes.filter((route) => route.anonymous === true);
  if (organisations === undefined) {
    return anonymous.map(({ name }) =>
      createFinding(
        'AnonymousWithoutOrganisations',
        `route/${name}`,
        'anonymous has no effect, since there are no organisations',
      ),
    );
  }
  const hasTokens = organisations.some(({ tokenDigests }) => tokenDigests.length > 0);
  const message =
    'no organisation has a token and no route is anonymous, so that every request is refused';
  return hasTokens || anonymous.length > 0 || routes.length === 0
    ? []
    : [createFinding('NobodyAdmitted', 'organisations', message)];
}

/** Returns what is wrong or doubtful in the organisations of a configuration. */
export function findOrganisationProblems(configuration: TrafficConfiguration): Finding[] {
  const organisations = configuration.organisations ?? [];
  const repeated = findRepeated(organisations.map(({ name }) => name));
  return [
    ...[...repeated].map((name) =>
      createFinding('NameRepeated', `organisation/${name}`, 'the name is used repeatedly'),
    ),
    ...checkTokens(organisations),
    ...organisations.flatMap(checkUsage),
    ...checkAnonymous(configuration),
  ];
}
