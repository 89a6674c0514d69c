/**
 * Bounds the connections of a server that is not for callers, so that idle ones can not use up the descriptors.
 */
import type * as http from 'node:http';
import type { Socket } from 'node:net';

/** Above the maximum; a request may be on its way on a newer connection. */
const MINIMUM_IDLE_MILLISECONDS = 1000;
const CHECK_MILLISECONDS = 100;

/** Limits of the connections of one server. */
export interface ServerLimits {
  /** Number above which connections are closed that have been without a request for long. */
  readonly maximum: number;
  /** Connections beyond the maximum that may arrive at once, as when all daemons ask one of them for its state. */
  readonly burst: number;
}

/** Closes connections that have been without a request for longest while more than the given numbers are open. */
export function limitConnections(server: http.Server, { maximum, burst }: ServerLimits): void {
  /** Times since which connections are idle, in this order. */
  const idle = new Map<Socket, number>();
  const active = new Set<Socket>();
  let timer: NodeJS.Timeout | undefined;
  const closeIdle = (allowed: number, minimumMilliseconds: number): void => {
    const latest = performance.now() - minimumMilliseconds;
    for (const [socket, since] of idle) {
      if (idle.size + active.size <= allowed || since > latest) {
        return;
      }
      idle.delete(socket);
      socket.destroy();
    }
  };
  const scheduleCheck = (): void => {
    if (idle.size + active.size > maximum) {
      timer ??= setTimeout(() => {
        timer = undefined;
        closeIdle(maximum, MINIMUM_IDLE_MILLISECONDS);
        scheduleCheck();
      }, CHECK_MILLISECONDS);
      timer.unref();
    }
  };
  server.on('connection', (socket) => {
    idle.set(socket, performance.now());
    socket.once('close', () => {
      idle.delete(socket);
      active.delete(socket);
    });
    scheduleCheck();
    if (idle.size + active.size > maximum + burst) {
      setImmediate(() => closeIdle(maximum + burst, 0));
    }
  });
  server.on('request', ({ socket }, response) => {
    idle.delete(socket);
    active.add(socket);
    response.once('close', () => {
      if (active.delete(socket) && !socket.destroyed) {
        idle.set(socket, performance.now());
      }
    });
  });
}
