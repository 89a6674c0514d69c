/**
 * Checks of a whole configuration that its schema can't express: entries that can never match or never be used, limits
 * that contradict each other, and references to what does not exist.
 */
import type { Route, TrafficConfiguration } from './configuration.js';
import { type Finding, createFinding } from './finding.js';
import { findOrganisationProblems } from './organisation-check.js';
import { findRepeated } from './repeated-names.js';

const PREFIX_PATTERN = /^\/([^?#\s]*\/)?$/;
/** Hosts of requests that pass the request check, without port. */
const HOST_PATTERN = /^([a-z0-9._-]+|\[[0-9a-f:.]+\])$/;

function checkMatch({ name, host, prefix }: Route): Finding[] {
  const subject = `route/${name}`;
  const findings: Finding[] = [];
  if (!HOST_PATTERN.test(host)) {
    const message = `host "${host}" never matches: hosts are compared in lower case and without port`;
    findings.push(createFinding('HostNeverMatches', subject, message));
  }
  if (!prefix.startsWith('/') || /[?#\s]/.test(prefix)) {
    const message = `prefix "${prefix}" never matches: it is compared with the path, which starts with a slash and has no query`;
    findings.push(createFinding('PrefixNeverMatches', subject, message));
  } else if (!PREFIX_PATTERN.test(prefix)) {
    const message = `prefix "${prefix}" ends within a path segment, so that it matches "${prefix}x" as well`;
    findings.push(createFinding('PrefixWithinSegment', subject, message));
  }
  return findings;
}

function checkDestinations(route: Route, services: ReadonlySet<string>): Finding[] {
  const subject = `route/${route.name}`;
  const findings: Finding[] = [];
  for (const { service } of route.destinations) {
    if (!services.has(service)) {
      const message = `destination "${service}" is not among the services`;
      findings.push(createFinding('ServiceUnknown', subject, message));
    }
  }
  for (const service of findRepeated(route.destinations.map((entry) => entry.service))) {
    const message = `destination "${service}" is listed more than once; the weights add up`;
    findings.push(createFinding('DestinationRepeated', subject, message));
  }
  if (route.destinations.every(({ weight }) => weight === 0)) {
    const first = route.destinations[0]?.service ?? '';
    const message = `all destinations have weight 0, so that all requests go to the first one, "${first}"`;
    findings.push(createFinding('WeightsZero', subject, message));
  }
  return findings;
}

function checkTimes(route: Route): Finding[] {
  const { timeoutMilliseconds, targetMilliseconds, maximumAttempts } = route;
  const subject = `route/${route.name}`;
  if (timeoutMilliseconds < targetMilliseconds) {
    const message = `the timeout of ${timeoutMilliseconds} ms ends before the target of ${targetMilliseconds} ms`;
    return [createFinding('TimeoutBelowTarget', subject, message)];
  }
  if (maximumAttempts > 1 && maximumAttempts * targetMilliseconds > timeoutMilliseconds) {
    const message = `${maximumAttempts} attempts of ${targetMilliseconds} ms each do not fit into the timeout of ${timeoutMilliseconds} ms`;
    return [createFinding('AttemptsBeyondTimeout', subject, message)];
  }
  return [];
}

function findShadowed(routes: readonly Route[]): Finding[] {
  const firstByMatch = new Map<string, string>();
  const findings: Finding[] = [];
  for (const { name, host, prefix } of routes) {
    const match = `${host}${prefix}`;
    const first = firstByMatch.get(match);
    if (first === undefined) {
      firstByMatch.set(match, name);
    } else {
      const message = `it never matches, since route "${first}" before it has the same host and prefix`;
      findings.push(createFinding('RouteShadowed', `route/${name}`, message));
    }
  }
  return findings;
}

function findRepeatedNames({ routes, services }: TrafficConfiguration): Finding[] {
  const findings: Finding[] = [];
  for (const [kind, entries] of [
    ['route', routes],
    ['service', services],
  ] as const) {
    for (const name of findRepeated(entries.map((entry) => entry.name))) {
      findings.push(
        createFinding('NameRepeated', `${kind}/${name}`, 'the name is used repeatedly'),
      );
    }
  }
  return findings;
}

function findUnused({ routes, services }: TrafficConfiguration): Finding[] {
  const used = new Set(
    routes.flatMap(({ destinations }) => destinations.map(({ service }) => service)),
  );
  const findings: Finding[] = [];
  for (const { name } of services) {
    if (!used.has(name)) {
      findings.push(
        createFinding('ServiceUnused', `service/${name}`, 'no route sends requests to it'),
      );
    }
  }
  return findings;
}

/** Returns what is wrong or doubtful in a configuration, errors first. */
export function checkConfiguration(configuration: TrafficConfiguration): Finding[] {
  const { routes, services } = configuration;
  const known = new Set(services.map(({ name }) => name));
  const findings = [
    ...findRepeatedNames(configuration),
    ...findShadowed(routes),
    ...routes.flatMap((route) => [
      ...checkMatch(route),
      ...checkDestinations(route, known),
      ...checkTimes(route),
    ]),
    ...findUnused(configuration),
    ...findOrganisationProblems(configuration),
  ];
  return [
    ...findings.filter(({ severity }) => severity === 'error'),
    ...findings.filter(({ severity }) => severity === 'warning'),
  ];
}
