import * as assert from 'node:assert/strict';
import * as fileSystem from 'node:fs/promises';
import * as operatingSystem from 'node:os';
import * as path from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as measure from '../src/index.js';

const program = fileURLToPath(new URL('../src/report.js', import.meta.url));
let directory = '';

before(async () => {
  directory = await fileSystem.mkdtemp(path.join(operatingSystem.tmpdir(), 'report-'));
});

after(async () => fileSystem.rm(directory, { recursive: true }));

async function runReport(files: Readonly<Record<string, string>>): Promise<string> {
  const input = await fileSystem.mkdtemp(path.join(directory, 'input-'));
  for (const [name, text] of Object.entries(files)) {
    await fileSystem.writeFile(path.join(input, name), text);
  }
  const words = [program, '--input', input, '--output', directory];
  const started = new measure.ManagedProcess('report', words);
  const end = await started.exited;
  return `${end.code} ${started.output}`;
}

function formatLine(seed: number, figures: Record<string, number>, name = 'head-of-line'): string {
  return `${JSON.stringify({ name, seed, figures })}\n`;
}

test('the report shows product and baselines side by side with seeds, commands and the spread of the runs', async () => {
  const outcome = await runReport({
    'a.txt': `measurement head-of-line, seed 2, 20 s\nprogress <b>\n${formatLine(2, {
      productShortWaitP99Milliseconds: 12,
      roundRobinShortWaitP99Milliseconds: 900,
      offeredRequestsPerSecond: 400,
    })}`,
    'b.txt': `${formatLine(1, {
      productShortWaitP99Milliseconds: 14,
      roundRobinShortWaitP99Milliseconds: 700,
      offeredRequestsPerSecond: 400,
    })}{"name":"cut off`,
    'c.txt': formatLine(1, { at_200_per_s_direct_p50_ms: 3, at_200_per_s_two_hops_p50_ms: 5 }, 'o'),
  });
  assert.match(outcome, /^0 2 measurements/);
  const markdown = await fileSystem.readFile(path.join(directory, 'RESULTS.md'), 'utf8');
  assert.ok(markdown.includes('| quantity | unit | product | round robin | run |'), markdown);
  assert.ok(markdown.includes('| short wait p99 | ms | 12 (12 to 14) | 700 (700 to 900) |  |'));
  assert.ok(markdown.includes('| offered | requests/s |  |  | 400 (400 to 400) |'));
  assert.ok(markdown.includes('| at 200 per s p50 | ms | 5 | 3 |'));
  assert.ok(
    markdown.includes(
      '- seed 2: `npm run --silent measure -- head-of-line --seed 2 --duration 20`',
    ),
  );
  assert.ok(markdown.includes('- seed 1: `npm run --silent measure -- head-of-line --seed 1`'));
  const html = await fileSystem.readFile(path.join(directory, 'results.html'), 'utf8');
  assert.equal(html.match(/<svg /g)?.length, 2);
  // Two quantities with two bars each; the longest one fills its plot.
  assert.equal(html.match(/<rect /g)?.length, 4);
  assert.doesNotMatch(html, /(src|href)=/);
});

test('names from files can not become markup in the page', async () => {
  const name = '<script>alert(1)</script>';
  await runReport({ 'a.txt': formatLine(1, { '<i>product': 1, '<i>random': 2 }, name) });
  const html = await fileSystem.readFile(path.join(directory, 'results.html'), 'utf8');
  assert.doesNotMatch(html, /<script|<i>/);
});

test('a directory without measurements is refused and overwrites no report', async () => {
  await fileSystem.writeFile(path.join(directory, 'RESULTS.md'), 'earlier report');
  assert.match(await runReport({ 'a.txt': 'no measurement\n' }), /^1 1052 .*has no measurement/);
  const kept = await fileSystem.readFile(path.join(directory, 'RESULTS.md'), 'utf8');
  assert.equal(kept, 'earlier report');
});
