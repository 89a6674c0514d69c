import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { partitionIntoCells } from '../src/index.js';
import { createEndpoint } from './fixture.js';

const zones = ['a', 'b', 'c'];

function createEndpoints(count: number): ReturnType<typeof createEndpoint>[] {
  return Array.from({ length: count }, (_, index) =>
    createEndpoint(`i-${index}`, { zone: zones[index % zones.length] as string }),
  );
}

test('a small service is a single cell, so that its few slots are shared across zones', () => {
  const cells = partitionIntoCells('valuation', createEndpoints(30));
  assert.equal(cells.length, 1);
  assert.equal(cells[0]?.zone, undefined);
});

test('every endpoint is in exactly one cell, so that no slot is granted by two dispatchers', () => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 600 }), (count) => {
      const endpoints = createEndpoints(count);
      const ids: string[] = [];
      for (const cell of partitionIntoCells('valuation', endpoints)) {
        for (const { id, zone } of cell.endpoints) {
          assert.ok(cell.zone === undefined || cell.zone === zone);
          ids.push(id);
        }
      }
      assert.deepEqual(ids.sort(), endpoints.map(({ id }) => id).sort());
    }),
  );
});

test('additional endpoints move few others to another cell, whose dispatcher lacks their state', () => {
  const cellOf = (count: number): Map<string, string> => {
    const names = new Map<string, string>();
    for (const { name, endpoints } of partitionIntoCells('valuation', createEndpoints(count))) {
      for (const { id } of endpoints) {
        names.set(id, name);
      }
    }
    return names;
  };
  const before = cellOf(240);
  let moved = 0;
  for (const [id, name] of cellOf(243)) {
    moved += before.has(id) && before.get(id) !== name ? 1 : 0;
  }
  assert.ok(moved <= 120, `${moved} of 240 moved`);
});
