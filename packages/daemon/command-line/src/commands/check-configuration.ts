/**
 * `dogwoodstall check-configuration`: checks a configuration of gateway daemons before it is sent.
 */
import * as cmd from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import * as settings from '@dogwoodstall/settings';
import * as traffic from '@dogwoodstall/traffic';
import { jsonFlag } from '../options.js';
import { formatTable, printData, printLine } from '../output.js';

const CHANGE_SIGNS = { added: '+', removed: '-', changed: '~' } as const;

/** A configuration and its fields that are unknown. */
interface ReadConfiguration {
  readonly configuration: traffic.TrafficConfiguration;
  readonly unknownFields: readonly traffic.Finding[];
}

function parseJson(text: string, file: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    const message = `${file}: ${error instanceof Error ? error.message : String(error)}`;
    throw new results.FailureError('ConfigurationInvalid', message, { cause: error });
  }
}

function validateJson(value: unknown, file: string): traffic.TrafficConfiguration {
  const parsed = traffic.trafficConfigurationSchema.safeParse(value);
  if (parsed.success) {
    return parsed.data;
  }
  const lines = parsed.error.issues.map(
    ({ path, message }) => `${file}: ${path.join('.')}: ${message}`,
  );
  throw new results.FailureError('ConfigurationInvalid', lines.join('\n'));
}

/**
 * Reads a configuration as TOML or, with the ending `.json`, as JSON. Throws `SettingsUnreadable`, `SettingsSyntax` or
 * `ConfigurationInvalid`.
 */
async function readConfiguration(file: string): Promise<ReadConfiguration> {
  const text = await settings.readTextFile(file);
  const isJson = file.endsWith('.json');
  const value = isJson ? parseJson(text, file) : settings.parseTomlText(text, file);
  const configuration = isJson
    ? validateJson(value, file)
    : settings.validateToml({ text, fileName: file, value }, traffic.trafficConfigurationSchema, {
        invalidKind: 'ConfigurationInvalid',
      });
  return { configuration, unknownFields: traffic.findUnknownFields(value, configuration) };
}

function printFindings(file: string, findings: readonly traffic.Finding[]): void {
  const rows = findings.map(({ number, severity, subject, message }) => [
    String(number),
    severity,
    subject,
    message,
  ]);
  if (rows.length > 0) {
    printLine(formatTable(rows));
  }
  const errors = findings.filter(({ severity }) => severity === 'error').length;
  printLine(`${file}: ${errors} errors, ${findings.length - errors} warnings`);
}

function printChanges(changes: readonly traffic.EntryChange[]): void {
  for (const { subject, change, fields } of changes) {
    printLine(`${CHANGE_SIGNS[change]} ${subject}`);
    for (const { field, before = 'absent', after = 'absent' } of fields) {
      printLine(`    ${field}: ${before} -> ${after}`);
    }
  }
  printLine(`${changes.length} entries differ from the version in force`);
}

/** Prints the findings, and the difference from the version in force; fails if there is an error. */
export const checkConfigurationCommand = cmd.command({
  name: 'check-configuration',
  description:
    'Check a configuration of gateway daemons before it is sent: errors, entries that can never match, limits that contradict each other, and what differs from the version in force',
  args: {
    file: cmd.positional({
      displayName: 'FILE',
      description: 'the configuration, as TOML or, with the ending .json, as JSON',
    }),
    inForce: cmd.option({
      long: 'in-force',
      type: cmd.optional(cmd.string),
      description: 'the configuration that is in force, in the same form',
    }),
    json: jsonFlag,
  },
  handler: async ({ file, inForce, json }) => {
    const { configuration, unknownFields } = await readConfiguration(file);
    const current =
      inForce === undefined ? undefined : (await readConfiguration(inForce)).configuration;
    const findings = [...traffic.checkConfiguration(configuration), ...unknownFields];
    const changes = current && traffic.compareConfigurations(current, configuration);
    if (current !== undefined) {
      findings.unshift(...traffic.checkVersion(current, configuration));
    }
    if (json) {
      printData({ findings, ...(changes !== undefined && { changes }) });
    } else {
      printFindings(file, findings);
      if (changes !== undefined) {
        printChanges(changes);
      }
    }
    if (findings.some(({ severity }) => severity === 'error')) {
      throw new results.FailureError('ConfigurationInvalid', `${file}: the check found errors`);
    }
  },
});
