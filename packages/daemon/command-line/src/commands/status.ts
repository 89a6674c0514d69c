/**
 * `dogwoodstall status`: prints the state of the fleet and of one daemon.
 */
import * as cmd from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import type { AdministrationClient } from '../administration-client.js';
import { connectionOptions, jsonFlag, withClient } from '../options.js';
import { printData, printLine } from '../output.js';
import { printFleetStatus } from './configuration-read.js';

function printStatusField(name: string, value: unknown): void {
  if (!Array.isArray(value)) {
    printLine(`${name}: ${JSON.stringify(value)}`);
    return;
  }
  printLine(`${name}: ${value.length}`);
  for (const item of value) {
    printLine(`  ${JSON.stringify(item)}`);
  }
}

// Only operators may read the state of a daemon. For organisations, only the revisions are printed.
async function readDaemonStatus(client: AdministrationClient): Promise<Record<string, unknown>> {
  try {
    return await client.getDaemon();
  } catch (error) {
    if (results.isFailure(error, 'AdministrationForbidden')) {
      return {};
    }
    throw error;
  }
}

/** Prints the revisions of the fleet and the state of one daemon. */
export const statusCommand = cmd.command({
  name: 'status',
  description: 'Print revisions by zone, and endpoints, ejections, drains and members of a daemon',
  args: { json: jsonFlag, ...connectionOptions },
  handler: async ({ json, ...connection }) =>
    withClient(connection, async (client) => {
      const fleet = await client.getStatus();
      const daemon = await readDaemonStatus(client);
      if (json) {
        printData({ fleet, daemon });
        return;
      }
      printFleetStatus(fleet);
      for (const [name, value] of Object.entries(daemon)) {
        printStatusField(name, value);
      }
    }),
});
