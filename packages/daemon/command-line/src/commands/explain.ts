/**
 * `dogwoodstall explain`: prints the decisions about one request from every queried daemon.
 */
import * as cmd from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import type { Explanation } from '../administration-responses.js';
import {
  addressType,
  connectionOptions,
  jsonFlag,
  withClient,
  type ConnectionValues,
} from '../options.js';
import { formatFailure, printData, printLine } from '../output.js';

/** The combined responses of the queried daemons. */
interface CollectedExplanation {
  readonly explanations: readonly Explanation[];
  readonly failures: readonly { readonly address: string; readonly error: unknown }[];
  /** Daemons that have recorded further decisions and have not responded. */
  readonly askNext: readonly string[];
}

async function collectExplanations(
  connection: ConnectionValues,
  also: readonly string[],
  requestId: string,
): Promise<CollectedExplanation> {
  const explanations: Explanation[] = [];
  const failures: { address: string; error: unknown }[] = [];
  for (const address of [connection.address, ...also]) {
    try {
      const target = { ...connection, address };
      explanations.push(await withClient(target, (client) => client.explain(requestId)));
    } catch (error) {
      failures.push({ address, error });
    }
  }
  const respondingDaemons = new Set(explanations.map(({ daemon }) => daemon));
  const referencedDaemons = explanations.flatMap(({ askNext }) => askNext);
  const askNext = [...new Set(referencedDaemons)].filter((name) => !respondingDaemons.has(name));
  return { explanations, failures, askNext };
}

// For an unknown request, the API returns `ConfigurationNotFound` to operators, but to
// organisations the same `AdministrationForbidden` as for a request to another organisation's
// service.
function isUnknownRequest(error: unknown): boolean {
  return (
    results.isFailure(error, 'ConfigurationNotFound') ||
    results.isFailure(error, 'AdministrationForbidden')
  );
}

function printExplanation({ explanations, askNext }: CollectedExplanation): void {
  printLine(`requestId: ${explanations[0]?.requestId}`);
  printLine(`service: ${explanations[0]?.service}`);
  for (const { daemon, decisions } of explanations) {
    printLine(`decisions of daemon ${daemon}: ${decisions.length}`);
    for (const decision of decisions) {
      printLine(`  ${JSON.stringify(decision)}`);
    }
  }
  for (const name of askNext) {
    printLine(`further decisions are kept by daemon ${name}; add --also with its address`);
  }
}

/** Prints the decisions about one request. */
export const explainCommand = cmd.command({
  name: 'explain',
  description: 'Print the decisions that daemons made about a request',
  args: {
    requestId: cmd.positional({
      displayName: 'REQUEST-ID',
      description: 'the Request-Id header of the response',
    }),
    also: cmd.multioption({
      long: 'also',
      type: cmd.array(addressType),
      description: 'administration API of a further daemon to query; may be repeated',
    }),
    json: jsonFlag,
    ...connectionOptions,
  },
  handler: async ({ requestId, also, json, ...connection }) => {
    const collected = await collectExplanations(connection, also, requestId);
    const { explanations, failures, askNext } = collected;
    if (explanations.length === 0) {
      throw failures[0]?.error;
    }
    for (const { address, error } of failures) {
      if (!isUnknownRequest(error)) {
        const text = formatFailure(results.toFailure(error));
        process.stderr.write(`${address}: ${text}\n`);
      }
    }
    if (json) {
      printData({ explanations, askNext });
    } else {
      printExplanation(collected);
    }
  },
});
