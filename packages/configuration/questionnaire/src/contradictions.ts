/**
 * Finds answers of the questionnaire that contradict each other.
 */
import type * as settings from '@dogwoodstall/settings';
import type { Answers, PathAnswers, ServiceAnswers } from './answers.js';
import { computeLoad } from './load.js';

const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

type Report = (path: settings.KeyPath, message: string) => void;

function checkTraffic(answers: Answers, service: ServiceAnswers, report: Report): void {
  const { traffic, tolerances } = service;
  if (traffic.peakRequestsPerSecond < traffic.meanRequestsPerSecond) {
    report(['traffic', 'peakRequestsPerSecond'], 'the peak is below the mean');
  }
  const load = computeLoad(answers, service);
  if (load.meanSlots > load.slots) {
    const needed = Math.ceil(load.meanSlots);
    const message = `the mean traffic needs ${needed} slots, the backend servers have ${load.slots}`;
    report(['traffic', 'meanRequestsPerSecond'], message);
  }
  if (traffic.largestOrganisationShare !== undefined && !tolerances.callersHaveTokens) {
    const message = 'a limit per organisation requires tolerances.callersHaveTokens = true';
    report(['traffic', 'largestOrganisationShare'], message);
  }
}

function checkLongRequests(service: ServiceAnswers, report: Report): void {
  const { requests, paths } = service;
  if (requests.longShare > 0 && requests.longMilliseconds === undefined) {
    report(['requests', 'longShare'], 'long requests require requests.longMilliseconds');
  }
  if ((requests.longMilliseconds ?? Number.POSITIVE_INFINITY) < requests.typicalMilliseconds) {
    report(['requests', 'longMilliseconds'], 'long requests are shorter than typical ones');
  }
  const longIndex = paths.findIndex((path) => path.takesLong);
  if (longIndex !== -1 && requests.longShare === 0) {
    report(['paths', longIndex, 'takesLong'], 'the path takes long, but requests.longShare is 0');
  }
}

function checkWaits(service: ServiceAnswers, report: Report): void {
  const { requests, tolerances } = service;
  const networkMilliseconds = 2 * tolerances.callerLatencyMilliseconds;
  const check = (
    path: settings.KeyPath,
    { wait, takesLong }: { wait: number; takesLong: boolean },
  ): void => {
    const needed =
      (takesLong ? requests.longMilliseconds : undefined) ?? requests.typicalMilliseconds;
    if (wait < needed + networkMilliseconds) {
      const message = `callers wait ${wait} ms, but the request takes ${needed} ms and the network ${networkMilliseconds} ms`;
      report(path, message);
    }
  };
  const { callerWaitMilliseconds: wait } = tolerances;
  check(['tolerances', 'callerWaitMilliseconds'], { wait, takesLong: false });
  for (const [index, { callerWaitMilliseconds, takesLong }] of service.paths.entries()) {
    if (callerWaitMilliseconds !== undefined || takesLong) {
      const path = ['paths', index, 'callerWaitMilliseconds'];
      check(path, { wait: callerWaitMilliseconds ?? wait, takesLong });
    }
  }
}

function checkEffect(path: PathAnswers, service: ServiceAnswers): string | undefined {
  if (path.effect !== 'once') {
    return undefined;
  }
  const safe = path.methods.find((method) => SAFE_METHODS.has(method));
  if (safe !== undefined) {
    return `"once" contradicts the method ${safe}, which HTTP clients retry automatically`;
  }
  if (service.tolerances.doubledRequestCost === 'none') {
    return '"once" contradicts tolerances.doubledRequestCost = "none"';
  }
  return undefined;
}

function checkPaths(service: ServiceAnswers, report: Report): void {
  const seen = new Set<string>();
  for (const [index, path] of service.paths.entries()) {
    const problem = checkEffect(path, service);
    if (problem !== undefined) {
      report(['paths', index, 'effect'], problem);
    }
    for (const method of path.methods) {
      const key = `${method} ${path.path}`;
      if (seen.has(key)) {
        report(['paths', index, 'path'], `${key} is listed twice`);
      }
      seen.add(key);
    }
  }
  const hasOncePath = service.paths.some((path) => path.effect === 'once');
  if (service.tolerances.doubledRequestCost === 'high' && !hasOncePath) {
    const message = 'the cost of a duplicate request is high, but no path has effect = "once"';
    report(['tolerances', 'doubledRequestCost'], message);
  }
}

function checkServers(answers: Answers, service: ServiceAnswers, report: Report): void {
  const zones = new Set(answers.zones.map((zone) => zone.name));
  for (const [index, group] of service.serverGroups.entries()) {
    if (!zones.has(group.zone)) {
      report(['serverGroups', index, 'zone'], `zone "${group.zone}" is not in zones`);
    }
    if (group.connections < group.slots) {
      const message = `${group.connections} connections cannot use ${group.slots} slots`;
      report(['serverGroups', index, 'connections'], message);
    }
  }
}

function checkUniqueness(answers: Answers, report: Report): void {
  const seen = new Set<string>();
  const reportDuplicate = (path: settings.KeyPath, key: string): void => {
    if (seen.has(key)) {
      report(path, `${key} is listed twice`);
    }
    seen.add(key);
  };
  for (const [index, zone] of answers.zones.entries()) {
    reportDuplicate(['zones', index, 'name'], `zone ${zone.name}`);
  }
  for (const [index, service] of answers.services.entries()) {
    reportDuplicate(['services', index, 'name'], `service ${service.name}`);
    for (const [hostIndex, host] of service.hosts.entries()) {
      reportDuplicate(['services', index, 'hosts', hostIndex], `host ${host}`);
    }
    for (const [group, { addresses }] of service.serverGroups.entries()) {
      for (const [position, address] of addresses.entries()) {
        const path = ['services', index, 'serverGroups', group, 'addresses', position];
        reportDuplicate(path, `address ${address}`);
      }
    }
  }
}

/** Returns all contradictions between answers; a plan can be generated only if the list is empty. */
export function findContradictions(answers: Answers): settings.TomlProblem[] {
  const problems: settings.TomlProblem[] = [];
  checkUniqueness(answers, (path, message) => problems.push({ path, message }));
  for (const [index, service] of answers.services.entries()) {
    const report: Report = (path, message) => {
      problems.push({ path: ['services', index, ...path], message });
    };
    checkTraffic(answers, service, report);
    checkLongRequests(service, report);
    checkWaits(service, report);
    checkPaths(service, report);
    checkServers(answers, service, report);
  }
  return problems;
}
