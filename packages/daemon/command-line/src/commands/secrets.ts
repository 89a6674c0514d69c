/**
 * `dogwoodstall token new` and `dogwoodstall fleet-key new`.
 */
import { createHash, randomBytes } from 'node:crypto';
import * as cmd from 'cmd-ts';
import { jsonFlag } from '../options.js';
import { printData, printLine } from '../output.js';

const TOKEN_BYTES = 32;
const FLEET_KEY_BYTES = 32;

const newTokenCommand = cmd.command({
  name: 'new',
  description: 'Print a random token and the digest that goes into settings or an organisation',
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
  description: 'Print a random fleet key in hexadecimal, the content of a file of fleet.keyFiles',
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

/** Creates tokens. */
export const tokenCommands = cmd.subcommands({
  name: 'token',
  description: 'Create tokens of operators, administrators and callers',
  cmds: { new: newTokenCommand },
});

/** Creates fleet keys. */
export const fleetKeyCommands = cmd.subcommands({
  name: 'fleet-key',
  description: 'Create keys that sign idempotency keys',
  cmds: { new: newFleetKeyCommand },
});
