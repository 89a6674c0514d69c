/**
 * Loopback networks for the daemons of a test: they share their ports and differ in their hosts, which have to be known
 * before they start. A process holds a network by a listening socket, its guard, so that no other process takes it.
 */
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import * as net from 'node:net';
import * as results from '@dogwoodstall/results';

/** Networks are 127.64.0 to 127.127.255; the stand-ins and endpoints use 127.0.0.1. */
const NETWORK_COUNT = 16_384;
const FIRST_SECOND_BYTE = 64;
const GUARD_HOST_NUMBER = 254;
/** Below the ephemeral range and not a port of a daemon. */
const GUARD_PORT = 18_079;
const MAXIMUM_ATTEMPTS = 1000;

function getPrefix(number: number): string {
  return `127.${FIRST_SECOND_BYTE + Math.floor(number / 256)}.${number % 256}`;
}

/** Binds the guard of a network; returns false if another claim holds it. */
async function bindGuard(prefix: string): Promise<boolean> {
  const guard = net.createServer();
  guard.unref();
  try {
    guard.listen({ port: GUARD_PORT, host: `${prefix}.${GUARD_HOST_NUMBER}` });
    await once(guard, 'listening');
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EADDRINUSE') {
      return false;
    }
    throw error;
  }
}

/** The hosts of a loopback network that this process holds until it ends. */
export class LoopbackNetwork {
  private constructor(private readonly prefix: string) {}

  /**
   * Claims the first free network from the one with the given number on, by default a random one. Throws `ListenFailed`
   * when none is found.
   */
  static async claim(firstNumber = randomInt(NETWORK_COUNT)): Promise<LoopbackNetwork> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const prefix = getPrefix((firstNumber + attempt) % NETWORK_COUNT);
      if (await bindGuard(prefix)) {
        return new LoopbackNetwork(prefix);
      }
    }
    throw new results.FailureError('ListenFailed', 'no free loopback network was found');
  }

  /** Returns a host from 1 to 253. */
  getHost(number: number): string {
    return `${this.prefix}.${number}`;
  }
}
