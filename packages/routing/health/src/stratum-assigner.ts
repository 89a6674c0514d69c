/**
 * Strata: outcomes are compared between endpoints only on the same route, in the same size class and
 * from the same group of organisations, so that neither an expensive route nor a misbehaving
 * organisation counts against the endpoints that happened to serve it.
 */
import type { SizeClass } from '@dogwoodstall/model';

/** Organisations with a group of their own; the others share one. */
const DEDICATED_GROUPS = 15;

/** Groups organisations and names strata. */
export class StratumAssigner {
  private readonly groups = new Map<string, number>();

  /** Returns the key of a route and size class. */
  static createRouteKey(routeName: string, sizeClass: SizeClass): string {
    return sizeClass === 'short' ? routeName : `${routeName} long`;
  }

  /** Returns the stratum of a request. */
  getStratum(routeName: string, sizeClass: SizeClass, organisation: string): string {
    return `${StratumAssigner.createRouteKey(routeName, sizeClass)}\u0000${this.getGroup(organisation)}`;
  }

  private getGroup(organisation: string): number {
    let group = this.groups.get(organisation);
    if (group === undefined) {
      group = this.groups.size;
      if (group >= DEDICATED_GROUPS) {
        return DEDICATED_GROUPS;
      }
      this.groups.set(organisation, group);
    }
    return group;
  }
}
