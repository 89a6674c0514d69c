/**
 * `dogwoodstall configuration`: reads and changes the configuration.
 */
import * as cmd from 'cmd-ts';
import { configurationStatusCommand, getCommand, historyCommand } from './configuration-read.js';
import {
  applyCommand,
  diffCommand,
  putCommand,
  removeCommand,
  rollbackCommand,
} from './configuration-write.js';

/** The subcommands of `dogwoodstall configuration`. */
export const configurationCommands = cmd.subcommands({
  name: 'configuration',
  description: 'Read and change the configuration of the fleet',
  cmds: {
    get: getCommand,
    put: putCommand,
    remove: removeCommand,
    apply: applyCommand,
    diff: diffCommand,
    history: historyCommand,
    rollback: rollbackCommand,
    status: configurationStatusCommand,
  },
});
