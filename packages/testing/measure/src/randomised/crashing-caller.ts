/**
 * A caller that keeps resending a request that crashes the backend server.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as undici from 'undici';
import { callerTokenOf } from '../fleet/first-change.js';

const RESEND_INTERVAL_MILLISECONDS = 200;
const RESPONSE_TIMEOUT_MILLISECONDS = 5000;

/** Sends the crashing request for the duration; `chooseAddress` returns the daemon for each attempt. */
export async function sendCrashingRequests(
  chooseAddress: () => string,
  durationMilliseconds: number,
): Promise<void> {
  const endAt = performance.now() + durationMilliseconds;
  while (performance.now() < endAt) {
    try {
      const response = await undici.request(`http://${chooseAddress()}/pots/crash`, {
        reset: true,
        headers: {
          host: 'potbeheer.test',
          'crash-marker': 'crash',
          'dogwoodstall-organisation-token': callerTokenOf('cadeaupot'),
        },
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS),
      });
      await response.body.dump();
    } catch {
      // A lost response is resent like any other failure.
    }
    await sleep(RESEND_INTERVAL_MILLISECONDS);
  }
}
