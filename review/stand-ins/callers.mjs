/**
 * Stand-in for the platform's balancer and its callers. A caller opens a new connection for each request and does not
 * retry.
 */
import * as http from 'node:http';

const READINESS_MILLISECONDS = 1000;
const MISSES = 2;

function splitAddress(address) {
  const [host, port] = address.split(':');
  return { host, port: Number(port) };
}

/** Sends one request; resolves with its status, headers and body, or with `error`. */
export function send({ address, method, path, host, requestId, deadline, body, timeout }) {
  return new Promise((resolve) => {
    const request = http.request({
      ...splitAddress(address),
      method,
      path,
      agent: false,
      headers: {
        Host: host,
        ...(requestId && { 'Request-Id': requestId }),
        ...(deadline && { 'Deadline-Ms': String(deadline) }),
        ...(body && { 'Content-Length': body.length }),
      },
    });
    const timer = setTimeout(() => request.destroy(new Error('timeout')), timeout);
    const settle = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on('error', (error) => settle({ error: error.code ?? error.message }));
    request.on('response', (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += String(chunk);
      });
      response.on('error', (error) => settle({ error: error.code ?? error.message }));
      response.on('end', () => settle({ status: response.statusCode, text, ...response }));
    });
    request.end(body);
  });
}

/** Checks once per second which daemons are ready, as the platform does. */
export class Balancer {
  misses = new Map();

  constructor(daemons) {
    this.daemons = daemons;
  }

  start() {
    this.timer = setInterval(() => this.check(), READINESS_MILLISECONDS);
    return this.check();
  }

  stop() {
    clearInterval(this.timer);
  }

  async check() {
    await Promise.all(
      this.daemons.map(async ({ name, fields }) => {
        const { status } = await send({
          address: fields.listen.ready,
          method: 'GET',
          path: '/-/readiness',
          host: 'platform',
          timeout: READINESS_MILLISECONDS,
        });
        this.misses.set(name, status === 200 ? 0 : (this.misses.get(name) ?? MISSES) + 1);
      }),
    );
  }

  get ready() {
    return this.daemons.filter(({ name }) => (this.misses.get(name) ?? MISSES) < MISSES);
  }

  choose() {
    const { ready } = this;
    const candidates = ready.length * 2 < this.daemons.length ? this.daemons : ready;
    return candidates[Math.floor(Math.random() * candidates.length)];
  }
}
