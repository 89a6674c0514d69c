/**
 * Exports the modules of undici that the bundled daemon uses. The index of the package also loads fetch, WebSocket, cache
 * and mock modules, which would slow down each start.
 */
const Agent = require('../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const buildConnector = require('../node_modules/undici/lib/core/connect.js');
const undiciRequest = require('../node_modules/undici/lib/api/api-request.js');

const defaultAgent = new Agent();

/** Replaces `request` of the package for URLs given as strings. */
function request(url, options = {}) {
  const { origin, pathname, search } = new URL(url);
  const query = options.query === undefined ? '' : `?${new URLSearchParams(options.query)}`;
  const { dispatcher = defaultAgent, query: _query, ...rest } = options;
  const path = `${pathname}${search || query}`;
  return undiciRequest.call(dispatcher, { ...rest, origin, path, method: options.method ?? 'GET' });
}

module.exports = { Agent, Client, buildConnector, request };
