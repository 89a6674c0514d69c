/**
 * Finds the handler of a request by method and path.
 */
import * as results from '@dogwoodstall/results';
import type { Handler, Handlers } from './handlers.js';

interface ApiRoute {
  readonly method: string;
  readonly path: readonly string[];
  /** Path segments that follow as parameters. */
  readonly parameters: number;
  readonly handler: Handler;
}

/** A found handler and the segments that are its parameters. */
export interface HandlerMatch {
  readonly handler: Handler;
  readonly segments: readonly string[];
}

function decodeSegments(path: string): string[] {
  try {
    return path.split('/').slice(1).map(decodeURIComponent);
  } catch (error) {
    const message = 'the path has an invalid escape';
    throw new results.FailureError('AdministrationRequestInvalid', message, { cause: error });
  }
}

/** The table of calls. */
export class ApiRouter {
  private readonly entries: readonly ApiRoute[];

  constructor(handlers: Handlers) {
    const entry = (
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
    this.entries = [
      entry('GET', '/v1/configuration', 2, async (call) => handlers.getEntity(call)),
      entry('GET', '/v1/configuration', 1, async (call) => handlers.listEntities(call)),
      entry('PUT', '/v1/configuration', 2, async (call) => handlers.putEntity(call)),
      entry('DELETE', '/v1/configuration', 2, async (call) => handlers.removeEntity(call)),
      entry('POST', '/v1/changes', 0, async (call) => handlers.postChange(call)),
      entry('POST', '/v1/changes/preview', 0, async (call) => handlers.previewChange(call)),
      entry('GET', '/v1/changes', 0, async (call) => handlers.listChanges(call)),
      entry('POST', '/v1/rollback', 0, async (call) => handlers.rollBack(call)),
      entry('GET', '/v1/status', 0, async (call) => handlers.getStatus(call)),
      entry('GET', '/v1/daemon', 0, async (call) => handlers.getDaemon(call)),
      entry('GET', '/v1/explain', 1, async (call) => handlers.explain(call)),
    ];
  }

  /** Returns the handler of a request; throws `AdministrationRequestInvalid`. */
  find(method: string, path: string): HandlerMatch {
    const segments = decodeSegments(path);
    for (const entry of this.entries) {
      const isLength = segments.length === entry.path.length + entry.parameters;
      const isPath = entry.path.every((segment, index) => segments[index] === segment);
      if (entry.method === method && isLength && isPath) {
        return { handler: entry.handler, segments: segments.slice(entry.path.length) };
      }
    }
    const message = `the administration API has no call ${method} ${path}`;
    throw new results.FailureError('AdministrationRequestInvalid', message);
  }
}
