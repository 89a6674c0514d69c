/**
 * `node packages/testing/measure/dist/src/report.js --input DIRECTORY`: turns the output of
 * measurements into `docs/RESULTS.md` and `docs/results.html`.
 */
import * as fileSystem from 'node:fs/promises';
import * as path from 'node:path';
import * as commands from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import { formatHtml } from './report/html.js';
import { readRuns } from './report/input.js';
import { formatMarkdown } from './report/markdown.js';
import { createTables } from './report/table.js';

const DEFAULT_OUTPUT = 'docs';

async function writeReport(input: string, output: string): Promise<void> {
  const tables = createTables(await readRuns(input));
  await fileSystem.writeFile(path.join(output, 'RESULTS.md'), formatMarkdown(tables));
  await fileSystem.writeFile(path.join(output, 'results.html'), formatHtml(tables));
  process.stdout.write(`${tables.length} measurements written to ${output}\n`);
}

const command = commands.command({
  name: 'report',
  description: 'Turns the output of measurements into a report',
  args: {
    input: commands.option({
      long: 'input',
      description: 'directory of files with the output of measurements',
      type: commands.string,
    }),
    output: commands.option({
      long: 'output',
      description: 'directory that RESULTS.md and results.html are written to',
      type: commands.string,
      defaultValue: () => DEFAULT_OUTPUT,
    }),
  },
  handler: async ({ input, output }) => writeReport(input, output),
});

try {
  await commands.run(command, process.argv.slice(2));
} catch (error) {
  const failure = results.toFailure(error);
  process.stderr.write(`${results.findResult(failure.kind).number} ${failure.message}\n`);
  process.exitCode = 1;
}
