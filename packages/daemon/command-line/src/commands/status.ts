/**
 * `dogwoodstall status`.
 */
import * as cmd from 'cmd-ts';
import { connectionOptions, jsonFlag, withClient } from '../options.js';
import { printData, printLine } from '../output.js';
import { printFleetStatus } from './configuration-read.js';

function printPart(name: string, value: unknown): void {
  if (!Array.isArray(value)) {
    printLine(`${name}: ${JSON.stringify(value)}`);
    return;
  }
  printLine(`${name}: ${value.length}`);
  for (const item of value) {
    printLine(`  ${JSON.stringify(item)}`);
  }
}

/** Prints the fleet's and one daemon's state. */
export const statusCommand = cmd.command({
  name: 'status',
  description: 'Print revisions by zone, and endpoints, ejections, drains and members of a daemon',
  args: { json: jsonFlag, ...connectionOptions },
  handler: async ({ json, ...connection }) =>
    withClient(connection, async (client) => {
      const fleet = await client.getStatus();
      const daemon = await client.getDaemon();
      if (json) {
        printData({ fleet, daemon });
        return;
      }
      printFleetStatus(fleet);
      for (const [name, value] of Object.entries(daemon)) {
        printPart(name, value);
      }
    }),
});
