/**
 * Members that leave according to the platform's list of VMs.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import type { ListedVm } from './rejoiner.js';

/** Adds the state `leaving` of the platform's list to members. */
export class LeavingVmOverlay {
  private readonly listedVms: () => readonly ListedVm[];

  private lastLeaving = new Set<string>();

  constructor(listedMachines: () => readonly ListedVm[]) {
    this.listedVms = listedMachines;
  }

  /** Returns the members that have not failed, with the state of the list. */
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

  /** Reads the list; returns whether other machines leave than at the call before. */
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
    for (const machine of this.listedVms()) {
      if (machine.state === 'leaving') {
        leaving.add(machine.name);
      }
    }
    return leaving;
  }
}
