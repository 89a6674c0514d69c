import * as assert from 'node:assert/strict';
import { test } from 'node:test';
import * as datagrams from '@dogwoodstall/datagrams';
import * as grants from '@dogwoodstall/grants';
import type { Endpoint } from '@dogwoodstall/traffic';
import * as fc from 'fast-check';
import { Directory } from '../src/directory.js';
import { DispatcherRole, type SlotResponse } from '../src/dispatcher-role.js';

/** Time until the deadline of each slot request. */
const REMAINING_MILLISECONDS = 5000;

/** Creates endpoints in two zones by turns. */
function createEndpoints(service: string, count: number): Endpoint[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${service}-${index + 1}`,
    service,
    address: `127.0.0.1:${index + 1}`,
    zone: count > 2 && index % 2 === 1 ? 'b' : 'a',
    slots: 2,
    draining: false,
    warmUpMilliseconds: 0,
    lifetime: 1,
  }));
}

function createRole(isVerifying: () => boolean = () => false): {
  role: DispatcherRole;
  decisions: grants.Decision[];
  setEndpoints: (endpoints: readonly Endpoint[]) => void;
} {
  const directory = new Directory({ onConfiguration: () => {}, onEndpoints: () => {} });
  const endpoints = ['valuation', 'archive'].flatMap((service) => createEndpoints(service, 2));
  directory.replaceEndpoints(endpoints, { era: 0, revision: 1 }, 'store');
  const decisions: grants.Decision[] = [];
  const role = new DispatcherRole({
    self: 'daemon-1',
    directory,
    crashRecords: new grants.CrashRecords(),
    onDecision: (_cell, _request, decision) => decisions.push(decision),
    isVerifying,
    limitShare: () => 1,
    onUnused: () => {},
    onAnnouncement: () => {},
  });
  let revision = 1;
  const setEndpoints = (changed: readonly Endpoint[]): void => {
    revision += 1;
    directory.replaceEndpoints(changed, { era: 0, revision }, 'store');
    role.updateEndpoints();
  };
  return { role, decisions, setEndpoints };
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
    mayProbe: true,
    organisation: '',
    waitedElsewhere: 0,
    kilobytes: 0,
    fingerprint: String(askId),
    excluded: [],
    maximumLoad: null,
  };
}

test('imported suspects of one cell do not affect the failure estimates of another cell', () => {
  const { role, decisions } = createRole();
  role.importCellReports([{ name: 'valuation', suspects: ['valuation-1'] }], 'daemon-2');
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

// Guards against grants of endpoints that left while the dispatcher was suspended.
test('a dispatcher that was suspended sends other daemons to the next one until it has verified its endpoints', () => {
  let verifying = false;
  const { role, decisions } = createRole(() => verifying);
  const responses: string[] = [];
  const respond = ([kind, content]: SlotResponse): void => {
    const reason = kind === 'refuse' ? ` ${content.reason}` : '';
    responses.push(`${kind}${reason}`);
  };
  for (let askId = 1; decisions.length === askId - 1; askId += 1) {
    role.ask('entry', createAsk('valuation', askId), respond);
  }
  assert.equal(responses.pop(), 'queued');
  verifying = true;
  role.resume();
  assert.equal(responses.pop(), 'refuse stopping', 'the queued request');
  role.ask('entry', createAsk('valuation', 1), respond);
  assert.equal(
    responses.pop(),
    'refuse stopping',
    'a request that was granted before is sent again',
  );
  role.ask('daemon-1', createAsk('archive', 1), respond);
  assert.equal(responses.pop(), 'grant', 'its own request');
  verifying = false;
  role.ask('entry', createAsk('archive', 100), respond);
  assert.equal(responses.pop(), 'grant');
});

/** Any message that decodes, whatever it says. */
const messageArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant('ask' as const),
    askId: fc.integer(),
    cell: fc.constantFrom('valuation', 'archive', '', '__proto__', 'valuation@nowhere#9'),
    remaining: fc.double({ noNaN: true, noDefaultInfinity: true }),
    target: fc.double({ min: Number.MIN_VALUE, noNaN: true, noDefaultInfinity: true }),
    priority: fc.integer(),
    repeated: fc.boolean(),
    idempotent: fc.boolean(),
    kilobytes: fc.integer(),
    excluded: fc.array(fc.constantFrom('valuation-1', 'archive-2', 'x')),
  }),
  fc.record({
    kind: fc.constant('report' as const),
    grantOffset: fc.integer({ min: -2, max: 3 }),
    outcome: fc.constantFrom('success', 'reset', 'refused', 'abandoned', 'unused', 'shed'),
    elapsed: fc.double({ min: 0, noNaN: true, noDefaultInfinity: true }),
    load: fc.integer(),
    silent: fc.boolean(),
    rested: fc.double({ min: 0, noNaN: true, noDefaultInfinity: true }),
  }),
);

test('no sequence of decodable messages ends the dispatcher or keeps it from granting later requests', () => {
  fc.assert(
    fc.property(fc.array(messageArbitrary, { maxLength: 40 }), (messages) => {
      const { role, decisions } = createRole();
      let grantId = 0;
      const recordGrant = (response: SlotResponse): void => {
        grantId = response[0] === 'grant' ? response[1].grantId : grantId;
      };
      for (const message of messages) {
        if (message.kind === 'ask') {
          const decoded = datagrams.decodeMessage(
            datagrams.encodeMessage(['ask', { ...createAsk(message.cell, 1), ...message }]),
          );
          if (decoded?.[0] === 'ask') {
            role.ask('entry', decoded[1], recordGrant);
          }
        } else {
          role.report({
            ...message,
            grantId: grantId + message.grantOffset,
            announcement: null,
          });
        }
      }
      decisions.length = 0;
      role.updateEndpoints();
      const risk = role.listCellReports().flatMap(({ suspects }) => suspects);
      assert.ok(risk.every((id) => /^(valuation|archive)-\d$/.test(id)));
      role.ask('other', { ...createAsk('archive', 99), idempotent: true }, () => {});
      const refusal = decisions.find((decision) => decision.kind === 'refuse');
      assert.ok(refusal === undefined || refusal.reason === 'overload' || refusal.retryAfter >= 0);
      for (const decision of decisions) {
        assert.ok(decision.kind === 'refuse' || Number.isFinite(decision.risk));
      }
    }),
    { seed: 20_261, numRuns: 300 },
  );
});

test('slot requests for cells that no service has are refused as not run', () => {
  const { role } = createRole();
  const responses: string[] = [];
  for (let askId = 0; askId < 100; askId += 1) {
    role.ask('entry', createAsk(`unknown-${askId}`, askId), ([kind]) => responses.push(kind));
  }
  assert.deepEqual([...new Set(responses)], ['refuse']);
  assert.deepEqual(role.listCellReports(), []);
});

// Guards against refusals while some daemons already know that a service is divided into other cells, and others do not.
test('requests for the former cells of a service are granted while it is divided anew', () => {
  const { role, setEndpoints } = createRole();
  const ask = (cell: string, askId: number): SlotResponse[0] | undefined => {
    let kind: SlotResponse[0] | undefined;
    role.ask('entry', createAsk(cell, askId), (response) => {
      [kind] = response;
    });
    return kind;
  };
  setEndpoints(createEndpoints('valuation', 38));
  assert.equal(ask('valuation', 1), 'grant');
  setEndpoints(createEndpoints('valuation', 44));
  assert.equal(ask('valuation', 2), 'grant', 'the daemon that asks does not know of the division');
  assert.equal(ask('valuation@a#0', 3), 'grant');
  setEndpoints(createEndpoints('valuation', 38));
  assert.equal(ask('valuation@a#0', 4), 'grant', 'it does not know of the end of the division');
  assert.equal(ask('valuation@b#0', 5), 'grant', 'this daemon has not dispatched that cell');
  assert.equal(ask('valuation@c#0', 6), 'refuse', 'no endpoint is in that zone');
});

test('the dispatcher of a former cell keeps its failure estimates', () => {
  const { role, decisions, setEndpoints } = createRole();
  const endpoints = createEndpoints('valuation', 38);
  setEndpoints(endpoints);
  const suspects = endpoints.slice(1).map(({ id }) => id);
  role.importCellReports([{ name: 'valuation', suspects }], 'daemon-2');
  setEndpoints(createEndpoints('valuation', 44).slice(0, 41));
  role.ask('entry', createAsk('valuation', 1), () => {});
  const [decision] = decisions;
  assert.ok(decision?.kind === 'grant');
  assert.equal(decision.endpoint.id, 'valuation-1');
});
