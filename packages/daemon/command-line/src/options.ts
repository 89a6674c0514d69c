/**
 * Options and arguments shared by several commands.
 */
import { randomUUID } from 'node:crypto';
import * as os from 'node:os';
import * as cmd from 'cmd-ts';
import * as model from '@dogwoodstall/model';
import * as settings from '@dogwoodstall/settings';
import { AdministrationClient } from './administration-client.js';

/** `--json`: prints JSON instead of text. */
export const jsonFlag = cmd.flag({
  long: 'json',
  description: 'print JSON instead of text',
  type: cmd.boolean,
  defaultValue: () => false,
});

/** Parses the address of an administration API and removes a trailing slash. */
export const addressType = cmd.extendType(cmd.string, {
  displayName: 'URL',
  from: async (text) => {
    if (!/^https?:\/\/[^/]+\/?$/.test(text)) {
      throw new Error('expected an address such as http://127.0.0.1:8082');
    }
    return text.replace(/\/$/, '');
  },
});

const revisionType = cmd.extendType(cmd.string, {
  displayName: 'REVISION',
  from: async (text) => {
    if (!/^\d{1,12}$/.test(text)) {
      throw new Error('expected a revision, which is a number of at most 12 digits');
    }
    return Number(text);
  },
});

/** Parses a kind of entity. */
export const kindType = cmd.oneOf(Object.keys(model.entitySchemas) as model.EntityKind[]);

/** The argument for the kind of entity. */
export const kindPositional = cmd.positional({
  displayName: 'KIND',
  description: `one of ${Object.keys(model.entitySchemas).join(', ')}`,
  type: kindType,
});

/** The address of the administration API and the credentials to use it. */
export const connectionOptions = {
  address: cmd.option({
    long: 'address',
    env: 'DOGWOODSTALL_ADDRESS',
    type: addressType,
    description: 'address of the administration API, http://… or https://…',
  }),
  token: cmd.option({
    long: 'token',
    env: 'DOGWOODSTALL_TOKEN',
    description: 'administration token; the environment variable keeps it out of the process list',
  }),
  authority: cmd.option({
    long: 'authority',
    env: 'DOGWOODSTALL_AUTHORITY',
    type: cmd.optional(cmd.string),
    description: 'PEM file of the certificate authority that signed the certificate of the API',
  }),
};

/** The options that describe a change. */
export const changeOptions = {
  reason: cmd.option({
    long: 'reason',
    type: cmd.optional(cmd.string),
    description: 'why the change is made; recorded in the history',
  }),
  author: cmd.option({
    long: 'author',
    description: 'who makes the change; recorded in the history',
    defaultValue: () => os.userInfo().username,
    defaultValueIsSerializable: true,
  }),
  base: cmd.option({
    long: 'base',
    type: cmd.optional(revisionType),
    description: 'the revision on which the change is based',
  }),
  id: cmd.option({
    long: 'id',
    description: 'change id; the same id is accepted once, however often it is sent',
    defaultValue: () => randomUUID(),
  }),
};

/** The argument for a revision. */
export const revisionPositional = cmd.positional({
  displayName: 'REVISION',
  description: 'a revision from the history',
  type: revisionType,
});

/** The values of `connectionOptions`. */
export interface ConnectionValues {
  readonly address: string;
  readonly token: string;
  readonly authority: string | undefined;
}

/** The values of `changeOptions`. */
export interface ChangeValues {
  readonly reason: string | undefined;
  readonly author: string;
  readonly base: number | undefined;
  readonly id: string;
}

/** Runs a function with a new client and closes the client afterwards. */
export async function withClient<Value>(
  { address, token, authority }: ConnectionValues,
  run: (client: AdministrationClient) => Promise<Value>,
): Promise<Value> {
  const client = new AdministrationClient({
    address,
    token,
    authority: authority === undefined ? undefined : await settings.readTextFile(authority),
  });
  try {
    return await run(client);
  } finally {
    await client.close();
  }
}
