/**
 * What cases about memory need: uploads in pieces, the memory of a process, and the platform's limit on it (DEPLOY.md: "A
 * process that exceeds `memory_mb` is killed").
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { nextRequestId } from './caller.mjs';

const PIECE = Buffer.alloc(65_536, 'p');
const CHECK_MILLISECONDS = 50;
const LEAVE_MILLISECONDS = 500;

/** Uploads a body, in chunks or with a length, and resolves with a record of what the requester saw. */
export function upload(address, { host, path, bytes, isChunked, deadline, agent }) {
  const requestId = nextRequestId();
  const record = { requestId, address, sentAt: performance.now(), status: undefined };
  return new Promise((resolve) => {
    const [name, port] = address.split(':');
    const headers = { Host: host, 'Request-Id': requestId, 'Deadline-Ms': String(deadline) };
    if (!isChunked) {
      headers['Content-Length'] = String(bytes);
    }
    const options = { host: name, port: Number(port), method: 'POST', path, agent, headers };
    const request = http.request(options, (response) => {
      record.status = response.statusCode;
      record.retryAfter = Number(response.headers['retry-after'] ?? 0);
      response.resume();
      response.on('error', finish);
      response.on('close', finish);
    });
    const timer = setTimeout(() => request.destroy(), deadline + LEAVE_MILLISECONDS);
    function finish() {
      clearTimeout(timer);
      record.endedAt ??= performance.now();
      resolve(record);
    }
    request.on('finish', () => {
      record.writtenAt = performance.now();
    });
    request.on('error', (error) => {
      record.error ??= error.code;
      finish();
    });
    let left = bytes;
    const write = () => {
      while (left > 0 && !request.destroyed) {
        const piece = left < PIECE.length ? PIECE.subarray(0, left) : PIECE;
        left -= piece.length;
        if (!request.write(piece)) {
          request.once('drain', write);
          return;
        }
      }
      if (!request.destroyed) {
        request.end();
      }
    };
    write();
  });
}

/** Returns the resident memory of a process in MB; 0 if it has ended. */
export function readMegabytes(pid) {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
}

/** Ends the processes that exceed the memory of their machine, as the platform does, until the signal is aborted. */
export async function limitMemory(deployment, signal, record) {
  const peaks = new Map(deployment.daemons.map((daemon) => [daemon, { peak: 0, ends: 0 }]));
  const watch = async () => {
    while (!signal.aborted) {
      for (const daemon of deployment.daemons) {
        const state = peaks.get(daemon);
        const megabytes = readMegabytes(daemon.process.pid);
        state.peak = Math.max(state.peak, megabytes);
        if (megabytes > deployment.memoryMegabytes) {
          state.ends += 1;
          record(
            `${Math.round(performance.now())} ms: ${daemon.name} has ${Math.round(megabytes)} MB and is ended`,
          );
          daemon.signal('SIGKILL');
        }
      }
      await delay(CHECK_MILLISECONDS);
    }
  };
  watch().catch((error) => record(String(error)));
  return peaks;
}
