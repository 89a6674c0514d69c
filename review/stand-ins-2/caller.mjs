/** Stand-ins for requesters. Each request has an id of its own; the record tells what the requester saw. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import { digest } from './endpoint.mjs';

let lastNumber = 0;
const prefix = crypto.randomBytes(4).toString('hex');

export function nextRequestId() {
  lastNumber += 1;
  return `${prefix}${String(lastNumber).padStart(8, '0')}`;
}

/** Sends one request; resolves with its record and never rejects. `leaveAfter` closes the connection after that time. */
export function call(address, options) {
  const { method = 'GET', path, host, deadline = 2000, body, agent, leaveAfter } = options;
  const requestId = nextRequestId();
  const bytes = body ?? Buffer.alloc(0);
  const record = {
    requestId,
    address,
    method,
    path,
    content: `${method} ${path} ${digest(bytes)}`,
    sentAt: performance.now(),
    status: undefined,
    sealed: false,
    body: '',
    complete: false,
    error: undefined,
  };
  return new Promise((resolve) => {
    const [name, port] = address.split(':');
    const finish = () => {
      record.endedAt ??= performance.now();
      resolve(record);
    };
    const request = http.request(
      {
        host: name,
        port: Number(port),
        method,
        path,
        agent: agent ?? false,
        headers: {
          Host: host,
          'Request-Id': requestId,
          'Deadline-Ms': String(deadline),
          ...(options.headers ?? {}),
          ...(method !== 'GET' && { 'Content-Length': String(bytes.length) }),
        },
        signal: AbortSignal.timeout(deadline + 1000),
      },
      (response) => {
        record.status = response.statusCode;
        record.sealed = response.headers['server-seal'] !== undefined;
        record.retryAfter = response.headers['retry-after'];
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', finish);
        response.on('close', finish);
        response.on('end', () => {
          record.complete = response.complete;
          record.body = Buffer.concat(chunks).toString();
          finish();
        });
      },
    );
    request.on('error', (error) => {
      record.error = error.code ?? error.name;
      finish();
    });
    if (leaveAfter !== undefined) {
      setTimeout(() => request.destroy(), leaveAfter);
    }
    request.end(bytes);
  });
}
