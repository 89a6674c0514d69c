/**
 * The subcommands of `dogwoodstall configuration` that read the configuration.
 */
import * as cmd from 'cmd-ts';
import type { FleetStatus } from '../administration-responses.js';
import { formatEntity } from '../change-file.js';
import { connectionOptions, jsonFlag, kindPositional, withClient } from '../options.js';
import { formatTable, printData, printLine } from '../output.js';

const DEFAULT_HISTORY_LENGTH = 100;

/** Prints one entity or the names of all entities of a kind. */
export const getCommand = cmd.command({
  name: 'get',
  description: 'Print one entity as TOML, or the names of all entities of a kind',
  args: {
    kind: kindPositional,
    name: cmd.positional({ displayName: 'NAME', type: cmd.optional(cmd.string) }),
    json: jsonFlag,
    ...connectionOptions,
  },
  handler: async ({ kind, name, json, ...connection }) =>
    withClient(connection, async (client) => {
      if (name !== undefined) {
        const found = await client.getEntity(kind, name);
        if (json) {
          printData(found);
        } else {
          printLine(formatEntity(found.entity, found.revision).trimEnd());
        }
        return;
      }
      const page = await client.listEntities(kind);
      if (json) {
        printData(page);
      } else {
        printLine(page.entities.map((entity) => entity.name).join('\n'));
      }
    }),
});

/** Prints accepted changes. */
export const historyCommand = cmd.command({
  name: 'history',
  description: 'Print accepted changes, oldest first',
  args: {
    after: cmd.option({
      long: 'after',
      type: cmd.number,
      defaultValue: () => 0,
      description: 'print changes after this revision',
    }),
    limit: cmd.option({
      long: 'limit',
      type: cmd.number,
      defaultValue: () => DEFAULT_HISTORY_LENGTH,
      description: 'maximum number of changes',
    }),
    json: jsonFlag,
    ...connectionOptions,
  },
  handler: async ({ after, limit, json, ...connection }) =>
    withClient(connection, async (client) => {
      const page = await client.listChanges(after, limit);
      if (json) {
        printData(page);
        return;
      }
      const rows = page.changes.map((change) => [
        String(change.revision),
        new Date(change.acceptedAtEpochMilliseconds).toISOString(),
        change.author,
        `${change.operations.length} operations`,
        change.reason,
      ]);
      printLine(formatTable([['REVISION', 'ACCEPTED', 'AUTHOR', 'SIZE', 'REASON'], ...rows]));
    }),
});

/** Prints the accepted revision and the active revision of each zone. */
export function printFleetStatus(status: FleetStatus): void {
  printLine(`accepted revision ${status.acceptedRevision}`);
  if (status.storeKnowledgeAgeMilliseconds !== undefined) {
    printLine(`confirmed by the store ${Math.round(status.storeKnowledgeAgeMilliseconds)} ms ago`);
  }
  const rows = status.zones.map(({ zone, revisionInForce, members, lagging }) => [
    zone,
    String(revisionInForce),
    members === undefined ? '' : String(members),
    (lagging ?? []).map(({ name, revision }) => `${name} (${revision})`).join(', '),
  ]);
  printLine(formatTable([['ZONE', 'IN FORCE', 'MEMBERS', 'LAGGING'], ...rows]));
}

/** Prints the accepted revision and the active revision of each zone, as text or JSON. */
export const configurationStatusCommand = cmd.command({
  name: 'status',
  description: 'Print the accepted revision and the active revision of each zone',
  args: { json: jsonFlag, ...connectionOptions },
  handler: async ({ json, ...connection }) =>
    withClient(connection, async (client) => {
      const status = await client.getStatus();
      if (json) {
        printData(status);
      } else {
        printFleetStatus(status);
      }
    }),
});
