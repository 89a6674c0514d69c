/**
 * The commands of the program and its exit codes.
 */
import * as cmd from 'cmd-ts';
import * as results from '@dogwoodstall/results';
import { AdministrationError } from './administration-error.js';
import { checkConfigurationCommand } from './commands/check-configuration.js';
import { configurationCommands } from './commands/configuration.js';
import { checkSettingsCommand, daemonCommand } from './commands/daemon.js';
import { explainCommand } from './commands/explain.js';
import { planCommand } from './commands/plan.js';
import { fleetKeyCommands, tokenCommands } from './commands/secrets.js';
import { serviceCommands } from './commands/service.js';
import { statusCommand } from './commands/status.js';
import { formatDifference } from './difference-text.js';
import { formatFailure } from './output.js';

/** Exit codes of the program. */
export const exitCodes = { success: 0, failure: 1, usage: 2 } as const;

const program = cmd.subcommands({
  name: 'dogwoodstall',
  version: '0.1.0',
  description:
    'A proxy fleet between callers and backend servers. Exit codes: 0 success, 1 failure with a result code, 2 wrong usage.',
  cmds: {
    daemon: daemonCommand,
    'check-settings': checkSettingsCommand,
    'check-configuration': checkConfigurationCommand,
    plan: planCommand,
    configuration: configurationCommands,
    service: serviceCommands,
    status: statusCommand,
    explain: explainCommand,
    token: tokenCommands,
    'fleet-key': fleetKeyCommands,
  },
});

/** Runs the program with its arguments and returns the exit code. */
export async function runProgram(programArguments: readonly string[]): Promise<number> {
  try {
    const outcome = await cmd.runSafely(program, [...programArguments]);
    if (!('error' in outcome)) {
      return exitCodes.success;
    }
    const { exitCode, message, into } = outcome.error.config;
    process[into].write(`${message}\n`);
    return exitCode === 0 ? exitCodes.success : exitCodes.usage;
  } catch (error) {
    process.stderr.write(`${formatFailure(results.toFailure(error))}\n`);
    if (error instanceof AdministrationError) {
      for (const line of formatDifference(error.difference)) {
        process.stderr.write(`${line}\n`);
      }
    }
    return exitCodes.failure;
  }
}
