/**
 * A caller who sends the same request again and again although it crashes the backend server.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import * as undici from 'undici';
import { callerTokenOf } from '../fleet/first-change.js';

const PAUSE_MILLISECONDS = 200;
const ANSWER_MILLISECONDS = 5000;

/** Sends the crashing request for a time; `chooseAddress` gives the daemon of each attempt. */
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
        signal: AbortSignal.timeout(ANSWER_MILLISECONDS),
      });
      await response.body.dump();
    } catch {
      // A lost response makes this caller send the request again, like any other one.
    }
    await sleep(PAUSE_MILLISECONDS);
  }
}
