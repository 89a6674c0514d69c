import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as grants from '@dogwoodstall/grants';
import { CellChoice } from '../src/cell-choice.js';

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

  readonly choice: CellChoice;

  constructor(name = 'daemon-1', zone = 'a') {
    this.choice = new CellChoice({
      name,
      zone,
      listCells: () => cells,
      now: () => this.now,
      random: () => this.fraction,
    });
  }
}

test('an entry keeps to one cell of its zone while it has room', () => {
  const entry = new Entry();
  const own = entry.choice.choose('valuation', none);
  assert.equal(own?.zone, 'a');
  for (entry.fraction = 0; entry.fraction < 1; entry.fraction += 0.1) {
    assert.equal(entry.choice.choose('valuation', none), own);
  }
});

test('the entries of a zone share its cells', () => {
  const names = new Set<string | undefined>();
  for (let index = 0; index < 20; index += 1) {
    names.add(new Entry(`daemon-${index}`).choice.choose('valuation', none)?.name);
  }
  assert.deepEqual([...names].sort(), ['a#0', 'a#1']);
});

test('a full cell sends requests to an emptier one, and only while its load is known', () => {
  const entry = new Entry();
  const own = entry.choice.choose('valuation', none) as grants.Cell;
  for (const { name } of cells) {
    entry.choice.note(name, name === own.name ? 1.2 : 0.4);
  }
  entry.fraction = 0.99;
  assert.equal(entry.choice.choose('valuation', none)?.name, 'c#0');
  entry.now += 5000;
  assert.equal(entry.choice.choose('valuation', none), own);
});

test('a refused request goes to a cell that did not refuse it, and ends when all did', () => {
  const entry = new Entry();
  const tried = new Set<string>();
  for (let count = 0; count < cells.length; count += 1) {
    const cell = entry.choice.choose('valuation', tried);
    assert.ok(cell !== undefined && !tried.has(cell.name));
    tried.add(cell.name);
  }
  assert.equal(entry.choice.choose('valuation', tried), undefined);
});

test('without a cell in its zone an entry uses one of another', () => {
  assert.notEqual(new Entry('daemon-1', 'd').choice.choose('valuation', none), undefined);
});
