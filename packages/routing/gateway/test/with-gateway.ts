/**
 * A gateway before scripted endpoints, opened and closed for one test.
 */
import type { Route } from '@dogwoodstall/traffic';
import { TestGateway, formatAnswer } from './fixture.js';
import { ScriptedEndpoint, type Script } from './scripted-endpoint.js';
import { SlotsInTurn } from './slots-in-turn.js';

/** What a test works with. */
export interface Setup {
  readonly gateway: TestGateway;
  readonly slots: SlotsInTurn;
  readonly endpoints: readonly ScriptedEndpoint[];
}

/** Runs a check with endpoints that follow scripts, and closes everything after it. */
export async function withGateway(
  scripts: readonly Script[],
  options: Partial<Route> & {
    hedgeAfter?: number;
    reuseWithin?: number;
    idleMilliseconds?: number;
  },
  check: (setup: Setup) => Promise<void>,
): Promise<void> {
  const { hedgeAfter, reuseWithin, idleMilliseconds, ...changes } = options;
  const endpoints = await Promise.all(
    scripts.map((script) => new ScriptedEndpoint(script).listen()),
  );
  const slots = new SlotsInTurn(
    endpoints.map(({ address }) => address),
    hedgeAfter,
    reuseWithin,
  );
  const gateway = await new TestGateway(slots, changes, idleMilliseconds).listen();
  try {
    await check({ gateway, slots, endpoints });
  } finally {
    gateway.close();
    for (const endpoint of endpoints) {
      endpoint.close();
    }
  }
}

/** Answers every request whole. */
export const answerWell: Script = (socket, request) => socket.write(formatAnswer(request, 'well'));
