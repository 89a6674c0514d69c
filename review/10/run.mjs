/**
 * Tenants within their limits; a part of their requesters leaves early. The machine that keeps the limits of half of them
 * stands still for some seconds. Counts the requests that reach an endpoint over half a second after their requester has
 * closed its connection, at the machines that were not stopped.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { call } from '../stand-ins-2/caller.mjs';
import { CannotRun, Deployment, listRequests, runCase } from '../stand-ins-2/deployment.mjs';
import { Endpoint } from '../stand-ins-2/endpoint.mjs';

const RECORD = new URL('record.txt', import.meta.url);
const DAEMONS = 10;
const TENANTS = 40;
const REQUESTERS = 480;
const LEAVING_SHARE = 0.3;
const LEAVE_MILLISECONDS = 600;
const DEADLINE = 2565;
const FREEZE_MILLISECONDS = 4500;
const LATE_MILLISECONDS = 500;
/** "More than a few". */
const A_FEW = 10;
const BOUNDS = {
  ack_ms: 5000,
  catch_up_s: 6,
  drain_ms: 2500,
  config_apply_ms: 2500,
  retry_budget_slack: 210,
  quota_window_s: 5,
  quota_overage: 0.1,
  quota_slack: 20,
};

/** Sends one request after the other; leaves early from a part of them. */
async function send(deployment, index, records, state) {
  const daemon = deployment.daemons[index % DAEMONS];
  await delay(Math.random() * 1000);
  while (!state.stopped) {
    const leaveAfter = Math.random() < LEAVING_SHARE ? LEAVE_MILLISECONDS : undefined;
    const record = await call(daemon.address, {
      path: `/catalogue/${records.length}`,
      host: deployment.host,
      deadline: DEADLINE,
      headers: { Authorization: `Bearer key-${index % TENANTS}` },
      leaveAfter,
    });
    records.push({ ...record, daemon, leaveAfter });
    await delay(250 + Math.random() * 500);
  }
}

/** Returns the machine that most others name as the keeper of a group of tenants. */
function findKeeper(deployment, keepers) {
  const votes = new Map();
  for (const name of keepers.values()) {
    votes.set(name, (votes.get(name) ?? 0) + 1);
  }
  const [name] = [...votes].sort((left, right) => right[1] - left[1])[0] ?? [];
  const found = deployment.daemons.find((daemon) => daemon.name === name);
  if (found === undefined) {
    throw new CannotRun('no machine keeps limits');
  }
  return found;
}

await runCase('GONE', RECORD, async ({ record, hasTrouble }) => {
  const deployment = new Deployment({ daemons: DAEMONS, bounds: BOUNDS, memoryMegabytes: 250 });
  const keepers = new Map();
  deployment.onLine = (daemon, line) => {
    if (line.includes('"usage limits have a keeper"')) {
      const { group, keeper } = JSON.parse(line);
      if (group === 0) {
        keepers.set(daemon, keeper);
      }
    }
    return !line.startsWith('{');
  };
  await deployment.start();
  for (let index = 0; index < 12; index += 1) {
    const zone = deployment.zones[index % deployment.zones.length];
    const options = { service: 'catalogue', zone, workMilliseconds: 20, slots: 3 };
    const endpoint = await deployment.addEndpoint(new Endpoint(options));
    endpoint.responseBytes = 1500;
  }
  deployment.configure({
    routes: { catalogue: { prefix: '/catalogue/', kind: 'safe', service: 'catalogue' } },
    services: ['catalogue'],
    tenants: Array.from({ length: TENANTS }, (_unused, index) => ({
      name: `tenant-${index}`,
      api_keys: [`key-${index}`],
      rate_per_s: 40,
      burst: 40,
      priority: 1,
    })),
  });
  await deployment.waitUntilReady(40_000);
  await delay(9000);
  const records = [];
  const state = { stopped: false };
  const running = Array.from({ length: REQUESTERS }, (_unused, index) =>
    send(deployment, index, records, state),
  );
  await delay(6000);
  const keeper = findKeeper(deployment, keepers);
  const frozenAt = performance.now();
  if (hasTrouble) {
    keeper.signal('SIGSTOP');
  }
  await delay(FREEZE_MILLISECONDS);
  if (hasTrouble) {
    keeper.signal('SIGCONT');
  }
  await delay(4000);
  state.stopped = true;
  await Promise.all(running);
  const runs = new Map(
    deployment.endpoints.flatMap((endpoint) => endpoint.runs).map((run) => [run.requestId, run]),
  );
  const statuses = {};
  const late = [];
  for (const { requestId, daemon, sentAt, endedAt, status, error, leaveAfter } of records) {
    statuses[status ?? error] = (statuses[status ?? error] ?? 0) + 1;
    const run = runs.get(requestId);
    const hasLeft = leaveAfter !== undefined && status === undefined && sentAt >= frozenAt;
    if (hasLeft && daemon !== keeper && run !== undefined) {
      const after = Math.round(run.startedAt - endedAt);
      if (after > LATE_MILLISECONDS) {
        const sent = Math.round(sentAt - frozenAt);
        late.push(
          `${requestId}, sent to ${daemon.name} ${sent} ms after the stop, ran ${after} ms after its requester had left`,
        );
      }
    }
  }
  record(`answers: ${JSON.stringify(statuses)}`);
  record(
    `${keeper.name} keeps limits${hasTrouble ? ' and was stopped' : ''}; late: ${late.length}`,
  );
  late.forEach((text) => record(text));
  listRequests(records, deployment.endpoints).forEach((text) => record(text));
  deployment.close();
  return late.length > A_FEW ? late : [];
});
