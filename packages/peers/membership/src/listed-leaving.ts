/**
 * Members that leave according to the platform's list of VMs.
 */
import type * as peerLink from '@dogwoodstall/peer-link';
import type { ListedMachine } from './rejoiner.js';

/** Adds the state `leaving` of the platform's list to members. */
export class ListedLeaving {
  private readonly listedMachines: () => readonly ListedMachine[];

  private known = new Set<string>();

  constructor(listedMachines: () => readonly ListedMachine[]) {
    this.listedMachines = listedMachines;
  }

  /** Returns the members that have not failed, with the state of the list. */
  apply(members: Iterable<peerLink.MemberUpdate>): peerLink.MemberUpdate[] {
    const leaving = this.read();
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
    const leaving = this.read();
    const isSame =
      leaving.size === this.known.size && [...leaving].every((name) => this.known.has(name));
    this.known = leaving;
    return !isSame;
  }

  private read(): Set<string> {
    const leaving = new Set<string>();
    for (const machine of this.listedMachines()) {
      if (machine.state === 'leaving') {
        leaving.add(machine.name);
      }
    }
    return leaving;
  }
}
