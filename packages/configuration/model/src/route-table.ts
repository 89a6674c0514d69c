/**
 * Route lookup by host, path and method. The cost of a lookup depends on the number of path segments,
 * not on the number of routes.
 */
import type { Route } from './entities.js';

interface PathNode {
  readonly children: Map<string, PathNode>;
  readonly routesByMethod: Map<string, Route>;
}

function getOrCreateChild(nodes: Map<string, PathNode>, key: string): PathNode {
  let node = nodes.get(key);
  if (node === undefined) {
    node = { children: new Map(), routesByMethod: new Map() };
    nodes.set(key, node);
  }
  return node;
}

function splitPath(path: string): string[] {
  return path.split('/').filter((segment) => segment !== '');
}

/** Selects a route by exact host and by the longest path prefix that accepts the method. */
export class RouteTable {
  private readonly roots = new Map<string, PathNode>();

  constructor(routes: Iterable<Route>) {
    for (const route of routes) {
      this.insert(route);
    }
  }

  private insert(route: Route): void {
    let node = getOrCreateChild(this.roots, route.host);
    for (const segment of splitPath(route.pathPrefix)) {
      node = getOrCreateChild(node.children, segment);
    }
    for (const method of route.methods) {
      node.routesByMethod.set(method, route);
    }
  }

  /**
   * Returns the route of a request, or undefined if none matches.
   *
   * `host` must be lower case and without port; `path` must not contain a query.
   */
  find(host: string, path: string, method: string): Route | undefined {
    let node = this.roots.get(host);
    let found = node?.routesByMethod.get(method);
    for (const segment of splitPath(path)) {
      node = node?.children.get(segment);
      if (node === undefined) {
        break;
      }
      found = node.routesByMethod.get(method) ?? found;
    }
    return found;
  }
}
