import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Candidates } from '../src/candidates.js';
import type { Directory } from '../src/directory.js';
import { MemberTable } from '../src/member.js';
import { RoleAssignment } from '../src/role-assignment.js';
import { StoreContactTracker } from '../src/store-contact-tracker.js';

const cell = { name: 'valuation', service: 'valuation', zone: undefined, endpoints: [] };

function createMember(index: number): ConstructorParameters<typeof MemberTable>[0] {
  const host = `10.0.0.${index}`;
  const addresses = { host, datagramPort: 1, peerAddress: `${host}:1` };
  return { name: `daemon-${index}`, zone: 'a', ...addresses, cores: 1, startedAt: 1 };
}

// The platform tolerates one and a half times a limit.
test('the shares of announced limits of all daemons stay below one and a half, however many grant at the same time', () => {
  for (const size of [2, 5, 87, 293]) {
    let sum = 0;
    for (let index = 0; index < size; index += 1) {
      const members = new MemberTable(createMember(index));
      for (let other = 0; other < size; other += 1) {
        members.add(createMember(other));
      }
      const roles = new RoleAssignment({
        members,
        directory: {} as Directory,
        storeContact: new StoreContactTracker(),
        retries: () => ({ ratio: 0, slack: 0, windowSeconds: 1 }),
        candidates: () =>
          ({ listLeading: () => ['daemon-0', 'daemon-1'] }) as unknown as Candidates,
        joinedAt: () => undefined,
        isRoleActive: () => false,
        lastStoreContactAt: () => 0,
        isStoreLost: () => false,
      });
      sum += roles.computeLimitShare(cell);
    }
    assert.ok(sum <= 1.5, `${size} daemons: ${sum}`);
    assert.ok(sum >= 1, `${size} daemons: ${sum}`);
  }
});
