/**
 * Formats `docs/results.html`, a self-contained page.
 */
import { drawPlots, escapeHtml } from './bar-plot.js';
import { formatCommand } from './input.js';
import { formatCell, type MeasurementTable } from './table.js';

const STYLE =
  'body{font-family:sans-serif;max-width:900px;margin:2em auto}' +
  'table{border-collapse:collapse}td,th{padding:2px 8px;border-bottom:1px solid #ddd}' +
  'td{text-align:right}td:first-child{text-align:left}';

function formatRow(tag: 'td' | 'th', cells: readonly string[]): string {
  return `<tr>${cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`;
}

function formatSection(table: MeasurementTable): string {
  const commands = table.runs.map(
    (run) => `<li><code>${escapeHtml(formatCommand(run))}</code></li>`,
  );
  const plots = drawPlots(table).map(
    ({ unit, svg }) => `<h3>${escapeHtml(unit === '' ? 'counts' : unit)}</h3>\n${svg}`,
  );
  const rows = table.rows.map(({ quantity, unit, values }) => {
    const cells = table.columns.map((column) => formatCell(values.get(column)));
    return formatRow('td', [quantity, unit, ...cells]);
  });
  return [
    `<h2>${escapeHtml(table.name)}</h2>`,
    `<ul>${commands.join('')}</ul>`,
    ...plots,
    `<table>${formatRow('th', ['quantity', 'unit', ...table.columns])}`,
    ...rows,
    '</table>',
  ].join('\n');
}

/** Formats the tables and their plots as one page. */
export function formatHtml(tables: readonly MeasurementTable[]): string {
  return [
    '<!doctype html>',
    // Excludes the generated page from the check of formatting.
    '<!-- prettier-ignore -->',
    '<html lang="en"><head><meta charset="utf-8"><title>Results</title>',
    `<style>${STYLE}</style></head><body>`,
    '<h1>Results</h1>',
    '<p>Bars show the median of the runs; tables show the median with the lowest and the highest value.</p>',
    ...tables.map(formatSection),
    '</body></html>',
    '',
  ].join('\n');
}
