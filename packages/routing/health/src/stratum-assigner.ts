/**
 * Strata: outcomes are compared between endpoints only on the same route, in the same size class and
 * from the same group of organisations, so that neither an expensive route nor a misbehaving
 * organisation counts against the endpoints that happened to serve it.
 */
import type { SizeClass } from '@dogwoodstall/model';

/** Organisations with a group of their own; the others share one. */
const OWN_GROUPS = 15;

/** Groups organisations and names strata. */
export class Strata {
  private readonly groups = new Map<string, number>();

  /** Returns the key of a route and size class. */
  static routeKey(routeName: string, sizeClass: SizeClass): string {
    return sizeClass === 'short' ? routeName : `${routeName} long`;
  }

  /** Returns the stratum of a request. */
  stratumOf(routeName: string, sizeClass: SizeClass, organisation: string): string {
    return `${Strata.routeKey(routeName, sizeClass)}\u0000${this.groupOf(organisation)}`;
  }

  private groupOf(organisation: string): number {
    let group = this.groups.get(organisation);
    if (group === undefined) {
      group = this.groups.size;
      if (group >= OWN_GROUPS) {
        return OWN_GROUPS;
      }
      this.groups.set(organisation, group);
    }
    return group;
  }
}
