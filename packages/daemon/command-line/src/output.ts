/**
 * Output of the commands: data on standard output, failures on standard error.
 */
import * as results from '@dogwoodstall/results';

/** Writes one line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes data as JSON to standard output. */
export function printData(data: unknown): void {
  printLine(JSON.stringify(data, undefined, 2));
}

/** Formats a failure with result number, name and message. */
export function formatFailure(failure: results.Failure): string {
  const { number } = results.findResult(failure.kind);
  return `dogwoodstall: result ${number} ${failure.kind}\n${failure.message}`;
}

/** Formats rows as left-aligned columns. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
