/**
 * Marks members as leaving when the platform's list of VMs does.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import type { ListedVm } from './rejoiner.js';

/** Applies the state `leaving` of the platform's list of VMs to members. */
export class LeavingVmOverlay {
  private readonly listedVms: () => readonly ListedVm[];

  private lastLeaving = new Set<string>();

  constructor(listedVms: () => readonly ListedVm[]) {
    this.listedVms = listedVms;
  }

  /** Returns the members that have not failed, with the state `leaving` from the list. */
  apply(members: Iterable<peerLink.MemberUpdate>): peerLink.MemberUpdate[] {
    const leaving = this.listLeaving();
    const applied: peerLink.MemberUpdate[] = [];
    for (const member of members) {
      if (member.state !== 'failed') {
        applied.push(leaving.has(member.name) ? { ...member, state: 'leaving' } : member);
      }
    }
    return applied;
  }

  /** Reads the list; returns whether the leaving VMs differ from those of the previous call. */
  refresh(): boolean {
    const leaving = this.listLeaving();
    const isSame =
      leaving.size === this.lastLeaving.size &&
      [...leaving].every((name) => this.lastLeaving.has(name));
    this.lastLeaving = leaving;
    return !isSame;
  }

  private listLeaving(): Set<string> {
    const leaving = new Set<string>();
    for (const vm of this.listedVms()) {
      if (vm.state === 'leaving') {
        leaving.add(vm.name);
      }
    }
    return leaving;
  }
}
