/**
 * Connects the administration API of a daemon to its control and request planes.
 */
import * as administrationApi from '@dogwoodstall/administration-api';
import * as model from '@dogwoodstall/model';
import type * as observability from '@dogwoodstall/observability';
import * as results from '@dogwoodstall/results';
import type * as settings from '@dogwoodstall/settings';
import { parseAddress } from './address.js';
import type { ControlPlane } from './control-plane.js';
import { readKeyPair } from './credentials.js';
import type { RequestPlane } from './request-plane.js';

const CHANGES_PER_PAGE = 50;

/** Options of `createAdministration`. */
export interface AdministrationOptions {
  readonly settings: settings.Settings;
  readonly log: observability.ProcessLog;
  readonly control: ControlPlane;
  readonly requests: RequestPlane;
}

async function commitDraft(control: ControlPlane, draft: model.ChangeDraft): Promise<model.Change> {
  const result = await control.changes.commit(draft);
  if (result.kind === 'accepted') {
    return result.change;
  }
  const revisions = result.changes.map((change) => change.revision).join(', ');
  const message = `other changes were accepted since revision ${draft.baseRevision}: ${revisions}`;
  throw new results.FailureError('ConfigurationConflict', message);
}

async function readRevision(
  control: ControlPlane,
  revision: number,
): Promise<model.Configuration | undefined> {
  let configuration = model.Configuration.empty();
  while (configuration.revision < revision) {
    const limit = Math.min(CHANGES_PER_PAGE, revision - configuration.revision);
    const page = await control.changes.readChanges(configuration.revision, limit);
    if (page.length === 0) {
      return undefined;
    }
    for (const change of page) {
      configuration = configuration.apply(change);
    }
  }
  return configuration;
}

function describeFleet(control: ControlPlane): administrationApi.FleetStatus {
  const status = control.configurationSynchroniser.getStatusByZone();
  return {
    acceptedRevision: status.highestRevision,
    storeKnowledgeAgeMilliseconds: status.storeAgeMilliseconds,
    zones: status.zones.map((zone) => ({
      zone: zone.zone,
      revisionInForce: zone.revision,
      members: zone.members,
      lagging: zone.lagging.map((name) => ({
        name,
        revision: control.members.find(name)?.revision ?? 0,
      })),
    })),
  };
}

function describeProcess(): administrationApi.DaemonStatus {
  const { rss: residentBytes, heapUsed: heapUsedBytes } = process.memoryUsage();
  const { user, system } = process.cpuUsage();
  return { residentBytes, heapUsedBytes, cpuMicroseconds: user + system };
}

function describeDaemon(options: AdministrationOptions): administrationApi.DaemonStatus {
  const { control, requests } = options;
  return {
    name: control.members.self.name,
    incarnation: control.members.self.incarnation,
    revision: control.configurationSynchroniser.current?.revision,
    startFailure: control.configurationSynchroniser.lastStartFailure,
    inFlight: requests.server.inFlight.count,
    idempotencyRecords: requests.keyHome.recordCount,
    keyIncarnations: requests.keyHome.activeIncarnations,
    cells: requests.registry.snapshot(),
    members: control.members.members(),
    violations: Object.fromEntries(results.getViolationCounts()),
    machineListAgeMilliseconds: control.machines.ageMilliseconds,
    process: describeProcess(),
    ...control.traffic,
  };
}

function explainRequest(
  options: AdministrationOptions,
  requestId: string,
): administrationApi.RequestExplanation | undefined {
  const decisions = options.requests.server.decisions.find(requestId);
  const route = options.control.configurationSynchroniser.current?.routes.get(
    decisions[0]?.route ?? '',
  );
  if (route === undefined) {
    return undefined;
  }
  return {
    requestId,
    service: route.service,
    decisions: decisions.map((decision) => ({ ...decision })),
  };
}

/** Creates the administration API of a daemon; the caller starts it with `listen`. */
export function createAdministration(
  options: AdministrationOptions,
): administrationApi.AdministrationApi {
  const { control, settings: daemonSettings } = options;
  const { administrationTls, administration, listen } = daemonSettings;
  const logger = options.log.getLogger('administration');
  return new administrationApi.AdministrationApi({
    ...parseAddress(listen.administration),
    readCredentials: administrationTls && (() => readKeyPair(administrationTls)),
    operatorTokenDigests: administration.operatorTokenDigests,
    log: logger,
    daemonName: options.settings.name,
    currentConfiguration: () => control.configurationSynchroniser.current,
    commit: (draft) => commitDraft(control, draft),
    publish: (change) => {
      control.configurationSynchroniser.publish(change).catch((error: unknown) => {
        logger.error('accepted change could not be published', { reason: String(error) });
      });
    },
    readChanges: (after, limit) => control.changes.readChanges(after, limit),
    readRevision: (revision) => readRevision(control, revision),
    fleetStatus: () => describeFleet(control),
    daemonStatus: () => describeDaemon(options),
    explain: (requestId) => explainRequest(options, requestId),
  });
}
