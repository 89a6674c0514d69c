/**
 * Assigns requests to strata. Outcomes of endpoints are compared only within the same route, size
 * class and group of organisations, so that neither an expensive route nor a misbehaving
 * organisation counts against the endpoints that happen to serve it.
 */
import type { SizeClass } from '@dogwoodstall/model';

/** Number of organisations that get their own group; all others share one. */
const DEDICATED_GROUPS = 15;

/** Groups organisations and creates the keys of strata. */
export class StratumAssigner {
  private readonly groups = new Map<string, number>();

  /** Creates the key of a route and size class. */
  static createRouteKey(routeName: string, sizeClass: SizeClass): string {
    return sizeClass === 'short' ? routeName : `${routeName} long`;
  }

  /** Returns the key of the stratum of a request. */
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
