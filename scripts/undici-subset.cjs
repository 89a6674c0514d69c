/**
 * The parts of undici that the bundled program uses. The package's own index also loads fetch, web sockets, caches and
 * mocks, which the program would pay for at each start.
 */
const Agent = require('../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const buildConnector = require('../node_modules/undici/lib/core/connect.js');
const requestWith = require('../node_modules/undici/lib/api/api-request.js');

const defaultAgent = new Agent();

/** Sends a request to a URL, as the function of the same name of the package does. */
function request(url, options = {}) {
  const { origin, pathname, search } = new URL(url);
  const query = options.query === undefined ? '' : `?${new URLSearchParams(options.query)}`;
  const { dispatcher = defaultAgent, query: _query, ...rest } = options;
  const path = `${pathname}${search || query}`;
  return requestWith.call(dispatcher, { ...rest, origin, path, method: options.method ?? 'GET' });
}

module.exports = { Agent, Client, buildConnector, request };
