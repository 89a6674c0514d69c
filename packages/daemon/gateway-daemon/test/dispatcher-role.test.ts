import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import type * as datagrams from '@dogwoodstall/datagrams';
import type * as grants from '@dogwoodstall/grants';
import { Directory } from '../src/directory.js';
import { DispatcherRole } from '../src/dispatcher-role.js';

const LONG_AGO = 5000;

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
    remaining: LONG_AGO,
    target: 400,
    repeated: false,
    moved: false,
    kilobytes: 0,
    fingerprint: String(askId),
    excluded: [],
  };
}

test('what another dispatcher knows about one cell says nothing about the endpoints of another', () => {
  const { role, decisions } = createRole();
  role.adoptBeliefs([{ name: 'valuation', suspects: ['valuation-1'] }]);
  role.ask('entry', createAsk('valuation', 1), () => {});
  role.ask('entry', createAsk('archive', 2), () => {});
  const [told, other] = decisions;
  assert.ok(told?.kind === 'grant' && other?.kind === 'grant');
  assert.equal(told.endpoint.id, 'valuation-2');
  assert.ok(told.risk < 0.15, 'an endpoint that is no suspect of its cell is trusted');
  assert.ok(other.risk > 0.25, 'an endpoint of another cell is as uncertain as before');
});

test('a stopping dispatcher sends others away and serves its own last requests', () => {
  const { role } = createRole();
  role.beginStop();
  const answers: string[] = [];
  role.ask('entry', createAsk('valuation', 1), ([kind]) => answers.push(kind));
  role.ask('daemon-1', createAsk('valuation', 2), ([kind]) => answers.push(kind));
  assert.deepEqual(answers, ['refuse', 'grant']);
});
