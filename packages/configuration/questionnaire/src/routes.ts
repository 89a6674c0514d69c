/**
 * Derives the routes of a service from its paths, with a reason for each value.
 */
import type * as model from '@dogwoodstall/model';
import type { PathAnswers, ServiceAnswers } from './answers.js';
import { deriveDeadline, type DerivedValue } from './contract.js';

const BYTES_PER_MEGABYTE = 1_048_576;

/** A route and the reasons for its generated fields. */
export interface DerivedRoute {
  readonly route: model.Route;
  readonly reasons: Readonly<Record<string, DerivedValue>>;
}

const reasonByEffect: Readonly<Record<PathAnswers['effect'], string>> = {
  none: 'the path only reads',
  repeatable: 'repeating a request has no further effect',
  once: 'requests must not be repeated: callers need an idempotency key, and the fleet executes each request at most once',
};

function deriveReasons(service: ServiceAnswers, path: PathAnswers): Record<string, DerivedValue> {
  const megabytes = path.largestUploadMegabytes ?? service.requests.largestUploadMegabytes;
  const reasons: Record<string, DerivedValue> = {
    idempotent: { value: path.effect !== 'once', reason: reasonByEffect[path.effect] },
    sizeClass: {
      value: path.takesLong ? 'long' : 'short',
      reason: path.takesLong
        ? 'requests on this path take long'
        : 'requests on this path are short',
    },
    maximumBodyBytes: {
      value: Math.round(megabytes * BYTES_PER_MEGABYTE),
      reason: `the largest upload has ${megabytes} MiB`,
    },
  };
  if (path.callerWaitMilliseconds !== undefined) {
    reasons.deadlineMilliseconds = deriveDeadline(service, path.callerWaitMilliseconds);
  }
  return reasons;
}

function createRouteName(service: ServiceAnswers, pathIndex: number, hostIndex: number): string {
  const name = service.paths[pathIndex]?.name ?? `${service.name}-${pathIndex + 1}`;
  return hostIndex === 0 ? name : `${name}-host-${hostIndex + 1}`;
}

/** Derives the routes of a service: one for each combination of host and path. */
export function deriveRoutes(service: ServiceAnswers): DerivedRoute[] {
  const routes: DerivedRoute[] = [];
  for (const [hostIndex, host] of service.hosts.entries()) {
    for (const [pathIndex, path] of service.paths.entries()) {
      const reasons = deriveReasons(service, path);
      const deadline = reasons.deadlineMilliseconds?.value;
      routes.push({
        reasons,
        route: {
          name: createRouteName(service, pathIndex, hostIndex),
          service: service.name,
          host,
          pathPrefix: path.path,
          methods: path.methods,
          idempotent: path.effect !== 'once',
          sizeClass: path.takesLong ? 'long' : 'short',
          maximumBodyBytes: Number(reasons.maximumBodyBytes?.value),
          ...(deadline !== undefined && { deadlineMilliseconds: Number(deadline) }),
        },
      });
    }
  }
  return routes;
}
