/**
 * Options that several commands share.
 */
import * as cmd from 'cmd-ts';

/** Prints data as JSON. */
export const jsonFlag = cmd.flag({
  long: 'json',
  description: 'print JSON instead of text',
  type: cmd.boolean,
  defaultValue: () => false,
});
