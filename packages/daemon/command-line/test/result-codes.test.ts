import * as assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as results from '@dogwoodstall/results';

const page = fileURLToPath(new URL('../../../../../docs/RESULT-CODES.md', import.meta.url));

function formatRow(name: string, definition: results.ResultDefinition): string {
  const { number, httpStatus, execution, summary } = definition;
  return [number, `\`${name}\``, httpStatus, execution, summary].join(' | ');
}

// The formatter pads the columns with spaces, which are removed before the comparison.
function normaliseRow(line: string): string {
  const cells = line.split('|').slice(1, -1);
  return cells.map((cell) => cell.trim()).join(' | ');
}

test('the table of result codes in the documentation equals the one of the program', async () => {
  const lines = (await readFile(page, 'utf8')).split('\n');
  const rows = lines.filter((line) => /^\|\s*\d/.test(line));
  const documented = new Set(rows.map(normaliseRow));
  const missing: string[] = [];
  for (const [name, definition] of Object.entries(results.resultTable)) {
    const row = formatRow(name, definition);
    if (!documented.delete(row)) {
      missing.push(row);
    }
  }
  const surplus = [...documented].join('\n');
  assert.equal(missing.join('\n'), '', 'rows that docs/RESULT-CODES.md lacks');
  assert.equal(surplus, '', 'rows of docs/RESULT-CODES.md that the program does not have');
});
