import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as grants from '@dogwoodstall/grants';
import { CellSelector } from '../src/cell-selector.js';

const cells: grants.Cell[] = ['a#0', 'a#1', 'b#0', 'c#0'].map((name) => ({
  name,
  service: 'valuation',
  zone: name.slice(0, 1),
  endpoints: [],
}));
const none: ReadonlySet<string> = new Set();

class Entry {
  now = 1000;

  fraction = 0;

  readonly selector: CellSelector;

  constructor(name = 'daemon-1', zone = 'a') {
    this.selector = new CellSelector({
      name,
      zone,
      listCells: () => cells,
      now: () => this.now,
      random: () => this.fraction,
    });
  }
}

test('an entry daemon uses one cell of its zone while the load of that cell is low', () => {
  const entry = new Entry();
  const preferred = entry.selector.select('valuation', none);
  assert.equal(preferred?.zone, 'a');
  for (entry.fraction = 0; entry.fraction < 1; entry.fraction += 0.1) {
    assert.equal(entry.selector.select('valuation', none), preferred);
  }
});

test('the entry daemons of a zone are distributed over its cells', () => {
  const names = new Set<string | undefined>();
  for (let index = 0; index < 20; index += 1) {
    names.add(new Entry(`daemon-${index}`).selector.select('valuation', none)?.name);
  }
  assert.deepEqual([...names].sort(), ['a#0', 'a#1']);
});

test('an overloaded cell redirects requests to a less loaded one until the reported load expires', () => {
  const entry = new Entry();
  const preferred = entry.selector.select('valuation', none) as grants.Cell;
  for (const { name } of cells) {
    entry.selector.recordLoad(name, name === preferred.name ? 1.2 : 0.4);
  }
  entry.fraction = 0.99;
  assert.equal(entry.selector.select('valuation', none)?.name, 'c#0');
  entry.now += 5000;
  assert.equal(entry.selector.select('valuation', none), preferred);
});

test('a refused request is redirected to each other cell once, until all have refused it', () => {
  const entry = new Entry();
  const tried = new Set<string>();
  for (let count = 0; count < cells.length; count += 1) {
    const cell = entry.selector.select('valuation', tried);
    assert.ok(cell !== undefined && !tried.has(cell.name));
    tried.add(cell.name);
  }
  assert.equal(entry.selector.select('valuation', tried), undefined);
});

test('an entry daemon without a cell in its zone uses a cell of another zone', () => {
  assert.notEqual(new Entry('daemon-1', 'd').selector.select('valuation', none), undefined);
});
