/**
 * Replaces `node:assert` in the bundled daemon. Without a message, `node:assert` builds one from the source line that failed; in
 * the bundle that line is the whole program, which takes seconds to parse.
 */
const { AssertionError } = require('node:assert');

/** Throws unless the value is truthy. */
module.exports = function assert(value, message = 'assertion failed') {
  if (!value) {
    throw message instanceof Error ? message : new AssertionError({ message });
  }
};
