import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as datagrams from '@dogwoodstall/datagrams';
import type * as grants from '@dogwoodstall/grants';
import { Directory } from '../src/directory.js';
import { DispatcherRole } from '../src/dispatcher-role.js';

/** Time until the deadline of each slot request. */
const REMAINING_MILLISECONDS = 5000;

function createRole(): { role: DispatcherRole; decisions: grants.Decision[] } {
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const endpoints = ['valuation', 'archive'].flatMap((service) =>
    [1, 2].map((number) => ({
      id: `${service}-${number}`,
      service,
      address: `127.0.0.1:${number}`,
      zone: 'a',
      slots: 2,
      draining: false,
      warmUpMilliseconds: 0,
      lifetime: 1,
    })),
  );
  directory.replaceEndpoints(endpoints, 1, 'store');
  const decisions: grants.Decision[] = [];
  const role = new DispatcherRole({
    self: 'daemon-1',
    directory,
    retryBudget: () => ({ ratio: 0.2, slack: 20, windowMilliseconds: 10_000 }),
    onDecision: (_cell, _request, decision) => decisions.push(decision),
  });
  return { role, decisions };
}

function createAsk(cell: string, askId: number): datagrams.Ask {
  return {
    askId,
    cell,
    route: 'offers',
    zone: 'a',
    idempotent: false,
    priority: 1,
    remaining: REMAINING_MILLISECONDS,
    target: 400,
    repeated: false,
    moved: false,
    kilobytes: 0,
    fingerprint: String(askId),
    excluded: [],
  };
}

test('imported suspects of one cell do not affect the failure estimates of another cell', () => {
  const { role, decisions } = createRole();
  role.importCellSuspects([{ name: 'valuation', suspects: ['valuation-1'] }]);
  role.ask('entry', createAsk('valuation', 1), () => {});
  role.ask('entry', createAsk('archive', 2), () => {});
  const [reported, other] = decisions;
  assert.ok(reported?.kind === 'grant' && other?.kind === 'grant');
  assert.equal(reported.endpoint.id, 'valuation-2');
  assert.ok(
    reported.risk < 0.15,
    'an endpoint of the reported cell that is not suspected has a low risk',
  );
  assert.ok(other.risk > 0.25, 'the risk of an endpoint of another cell is unchanged');
});

test('a stopping dispatcher refuses the requests of other daemons and still grants its own', () => {
  const { role } = createRole();
  role.beginStop();
  const responses: string[] = [];
  role.ask('entry', createAsk('valuation', 1), ([kind]) => responses.push(kind));
  role.ask('daemon-1', createAsk('valuation', 2), ([kind]) => responses.push(kind));
  assert.deepEqual(responses, ['refuse', 'grant']);
});
