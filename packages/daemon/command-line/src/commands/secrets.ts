/**
 * `dogwoodstall token new` and `dogwoodstall fleet-key new`: generate random secrets.
 */
import { createHash, randomBytes } from 'node:crypto';
import * as cmd from 'cmd-ts';
import { jsonFlag } from '../options.js';
import { printData, printLine } from '../output.js';

const TOKEN_BYTES = 32;
const FLEET_KEY_BYTES = 32;

const newTokenCommand = cmd.command({
  name: 'new',
  description: 'Print a random token and its digest, for the settings or an organisation entity',
  args: { json: jsonFlag },
  handler: ({ json }) => {
    const token = randomBytes(TOKEN_BYTES).toString('base64url');
    const digest = createHash('sha256').update(token).digest('hex');
    if (json) {
      printData({ token, digest });
    } else {
      printLine(`token  ${token}\ndigest ${digest}`);
    }
  },
});

const newFleetKeyCommand = cmd.command({
  name: 'new',
  description: 'Print a random fleet key in hexadecimal, for a file listed in fleet.keyFiles',
  args: { json: jsonFlag },
  handler: ({ json }) => {
    const key = randomBytes(FLEET_KEY_BYTES).toString('hex');
    if (json) {
      printData({ key });
    } else {
      printLine(key);
    }
  },
});

/** The subcommands of `dogwoodstall token`. */
export const tokenCommands = cmd.subcommands({
  name: 'token',
  description: 'Create tokens of operators, administrators and callers',
  cmds: { new: newTokenCommand },
});

/** The subcommands of `dogwoodstall fleet-key`. */
export const fleetKeyCommands = cmd.subcommands({
  name: 'fleet-key',
  description: 'Create keys that sign idempotency keys',
  cmds: { new: newFleetKeyCommand },
});
