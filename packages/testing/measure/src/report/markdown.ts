/**
 * Formats `docs/RESULTS.md`.
 */
import { formatCommand } from './input.js';
import { formatCell, type MeasurementTable } from './table.js';

function formatRow(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function formatTable(table: MeasurementTable): string[] {
  const commands = table.runs.map((run) => `- seed ${run.seed}: \`${formatCommand(run)}\``);
  const rows = table.rows.map(({ quantity, unit, values }) =>
    formatRow([quantity, unit, ...table.columns.map((column) => formatCell(values.get(column)))]),
  );
  return [
    `## ${table.name}`,
    '',
    ...commands,
    '',
    formatRow(['quantity', 'unit', ...table.columns]),
    formatRow(['---', '---', ...table.columns.map(() => '---:')]),
    ...rows,
    '',
  ];
}

/** Formats the tables as Markdown. */
export function formatMarkdown(tables: readonly MeasurementTable[]): string {
  return [
    '# Results',
    '',
    'Figures of the measurements, the product and its baselines in the same run, on the same seed and load. The column `run` has figures that concern the whole run. Several runs are given as their median, lowest and highest value. [results.html](results.html) has plots. Written by `node packages/testing/measure/dist/src/report.js`.',
    '',
    ...tables.flatMap(formatTable),
  ].join('\n');
}
