/**
 * Finds the handler of an API request by method and path.
 */
import * as results from '@dogwoodstall/results';
import type { Handler, Handlers } from './handlers.js';

interface ApiRoute {
  readonly method: string;
  readonly path: readonly string[];
  /** Number of path segments that follow the path as parameters. */
  readonly parameters: number;
  readonly handler: Handler;
}

/** The handler of a request and the path segments that are its parameters. */
export interface HandlerMatch {
  readonly handler: Handler;
  readonly segments: readonly string[];
}

function decodeSegments(path: string): string[] {
  try {
    return path.split('/').slice(1).map(decodeURIComponent);
  } catch (error) {
    const message = 'the path has an invalid percent-encoding';
    throw new results.FailureError('AdministrationRequestInvalid', message, { cause: error });
  }
}

/** The routes of the administration API. */
export class ApiRouter {
  private readonly routes: readonly ApiRoute[];

  constructor(handlers: Handlers) {
    const route = (
      method: string,
      path: string,
      parameters: number,
      handler: Handler,
    ): ApiRoute => ({
      method,
      path: path.split('/').slice(1),
      parameters,
      handler,
    });
    this.routes = [
      route('GET', '/v1/configuration', 2, async (call) => handlers.getEntity(call)),
      route('GET', '/v1/configuration', 1, async (call) => handlers.listEntities(call)),
      route('PUT', '/v1/configuration', 2, async (call) => handlers.putEntity(call)),
      route('DELETE', '/v1/configuration', 2, async (call) => handlers.removeEntity(call)),
      route('POST', '/v1/changes', 0, async (call) => handlers.postChange(call)),
      route('POST', '/v1/changes/preview', 0, async (call) => handlers.previewChange(call)),
      route('GET', '/v1/changes', 0, async (call) => handlers.listChanges(call)),
      route('POST', '/v1/rollback', 0, async (call) => handlers.rollBack(call)),
      route('GET', '/v1/status', 0, async (call) => handlers.getStatus(call)),
      route('GET', '/v1/daemon', 0, async (call) => handlers.getDaemon(call)),
      route('GET', '/v1/explain', 1, async (call) => handlers.explain(call)),
    ];
  }

  /** Returns the handler of a request; throws `AdministrationRequestInvalid`. */
  find(method: string, path: string): HandlerMatch {
    const segments = decodeSegments(path);
    for (const route of this.routes) {
      const hasExpectedLength = segments.length === route.path.length + route.parameters;
      const matchesPath = route.path.every((segment, index) => segments[index] === segment);
      if (route.method === method && hasExpectedLength && matchesPath) {
        return { handler: route.handler, segments: segments.slice(route.path.length) };
      }
    }
    const message = `the administration API has no route ${method} ${path}`;
    throw new results.FailureError('AdministrationRequestInvalid', message);
  }
}
