/**
 * Records decisions in the log and in the metrics.
 */
import type * as gateway from '@dogwoodstall/gateway';
import type * as grants from '@dogwoodstall/grants';
import * as observability from '@dogwoodstall/observability';
import type { Announcement } from '@dogwoodstall/traffic';
import type { HoldReason } from './announced-holds.js';
import type { CrashRecordEvent } from './crash-record-exchange.js';
import { DecisionLog } from './decision-log.js';
import { DescriptorLog } from './descriptor-log.js';
import type { MetricsServer } from './metrics-server.js';
import type { UsageReport } from './usage-counts.js';

/** Endpoints named in one line. */
const LOGGED_ENDPOINTS = 10;

/** Records the request and slot decisions of one daemon. */
export class DecisionReporter {
  /** Defined when the settings contain a metrics port. */
  metricsServer: MetricsServer | undefined;

  private readonly logger: observability.ComponentLogger;

  private readonly entryLog: DecisionLog;

  private readonly dispatchLog: DecisionLog;

  /** Has a limit of its own, so that the many grants do not displace the few changes of what endpoints announce. */
  private readonly announcementLog: DecisionLog;

  /** Has a limit of its own, like the log of announcements. */
  private readonly crashLog: DecisionLog;

  /** Has a limit of its own too, since the budget is used up when many requests fail. */
  private readonly budgetLog: DecisionLog;

  private readonly descriptorLog: DescriptorLog;

  private readonly unreadableAnnouncements = new observability.ChangeFilter();

  constructor(log: observability.ProcessLog, decisionsPerSecond: number) {
    this.logger = log.getLogger('entry');
    this.entryLog = new DecisionLog(log.getLogger('entry'), decisionsPerSecond);
    this.dispatchLog = new DecisionLog(log.getLogger('dispatch'), decisionsPerSecond);
    this.announcementLog = new DecisionLog(log.getLogger('dispatch'), decisionsPerSecond);
    this.crashLog = new DecisionLog(log.getLogger('dispatch'), decisionsPerSecond);
    this.budgetLog = new DecisionLog(log.getLogger('entry'), decisionsPerSecond);
    this.descriptorLog = new DescriptorLog(this.logger);
  }

  /** Records a completed request. */
  recordRequest(decision: gateway.RequestDecision): void {
    this.metricsServer?.countRequest(decision);
    this.entryLog.write('request ended', { ...decision });
  }

  /** Records a decision on a slot request. */
  recordSlotDecision(cell: string, request: grants.SlotRequest, decision: grants.Decision): void {
    this.metricsServer?.countSlot(cell, decision.kind === 'grant' ? 'grant' : decision.reason);
    const { entry, route, organisation, repeated } = request;
    const owner = organisation === '' ? {} : { organisation };
    const common = { ask: request.key, entry, cell, route, ...owner, repeated };
    if (decision.kind === 'grant') {
      const { grantId, endpoint, risk, waited } = decision;
      this.dispatchLog.write('slot granted', {
        ...common,
        grantId,
        endpoint: endpoint.id,
        risk: Number(risk.toFixed(3)),
        waited: Math.round(waited),
      });
    } else {
      const { reason, retryAfter, inExcess } = decision;
      const excess = inExcess ? { inExcess } : {};
      this.dispatchLog.write('slot refused', {
        ...common,
        reason,
        retryAfter: Math.round(retryAfter),
        ...excess,
      });
    }
  }

  /** Records the endpoints that get no requests while a part of the requests fails, with what explains it. */
  recordUnused(cell: string, endpoints: readonly grants.UnusedEndpoint[]): void {
    this.dispatchLog.write('endpoints are unused', {
      cell,
      count: endpoints.length,
      endpoints: endpoints.slice(0, LOGGED_ENDPOINTS).map(({ risk, idle, ...rest }) => ({
        ...rest,
        risk: Number(risk.toFixed(3)),
        idle: Number.isFinite(idle) ? Math.round(idle) : null,
      })),
    });
  }

  /** Records the retry budget of a service; it is logged only if retries were refused for it. */
  recordRetryBudget(service: string, state: grants.RetryBudgetState, refused: number): void {
    this.metricsServer?.setRetryBudget(service, state);
    if (refused > 0) {
      this.budgetLog.write('retry budget is used up', { service, refused, ...state });
    }
  }

  /** Records what was decided about usage limits in a second; it is logged only if requests were refused. */
  recordUsage(report: UsageReport): void {
    this.metricsServer?.countUsage(report);
    if (report.refused > 0) {
      const { refusedMost, ...counts } = report;
      const organisations = Object.fromEntries(refusedMost);
      this.budgetLog.write('usage limits are reached', { ...counts, organisations });
    }
  }

  /** Records from which daemon this one borrows for a group of organisations. */
  recordUsageKeeper(group: number, keeper: string): void {
    this.logger.info('usage limits have a keeper', { group, keeper });
  }

  /** Records what became of a hedge; its start is only counted, since a line about its end follows. */
  recordHedge(decision: gateway.HedgeDecision): void {
    this.metricsServer?.countHedge(decision);
    if (decision.event !== 'started') {
      this.entryLog.write('hedge decided', { ...decision });
    }
  }

  /** Records that an endpoint announces something else than before. */
  recordAnnouncement(cell: string, change: grants.AnnouncementChange): void {
    const { endpoint, origin, source, requestsPerSecond, leaving, previous } = change;
    const hasEnded = requestsPerSecond === null && !leaving;
    const heard = origin === 'response' ? 'learned' : 'relayed';
    const event = hasEnded ? 'ended' : heard;
    this.metricsServer?.countAnnouncement(event);
    this.announcementLog.write(`endpoint announcement ${event}`, {
      cell,
      endpoint: endpoint.id,
      lifetime: endpoint.lifetime,
      requestsPerSecond,
      leaving,
      previous,
      source,
    });
  }

  /** Records that an endpoint told this daemon to send it no requests. */
  recordHold(endpoint: string, { leaving, pauseMilliseconds }: Announcement): void {
    this.metricsServer?.countAnnouncement('learned');
    this.announcementLog.write('endpoint announcement learned', {
      endpoint,
      leaving,
      pauseMilliseconds,
      source: 'self',
    });
  }

  /** Records that this daemon did not use an endpoint because the endpoint had told it so. */
  recordHeldGrant(endpoint: string, { reason, age, announcement }: HoldReason): void {
    this.metricsServer?.countAnnouncement('obeyed');
    this.announcementLog.write('endpoint announcement obeyed', {
      endpoint,
      reason,
      age: Math.round(age),
      pauseMilliseconds: Math.round(announcement.pauseMilliseconds),
    });
  }

  /** Records a copy of an earlier response that an endpoint sent where the next one was due. */
  recordRepeatedResponse(): void {
    this.metricsServer?.countRepeatedResponse();
  }

  /** Records a header of an endpoint's response that should announce something and can't be read. */
  recordUnreadableAnnouncement(endpoint: string, header: string): void {
    if (this.unreadableAnnouncements.record(endpoint, header)) {
      this.metricsServer?.countAnnouncement('unreadable');
      this.announcementLog.write('endpoint announcement can not be read', { endpoint, header });
    }
  }

  /** Records a change of what this daemon knows of a request that crashes endpoints. */
  recordCrash(
    event: CrashRecordEvent,
    { fingerprint, evidence, clearedAt }: grants.CrashRecord,
  ): void {
    this.metricsServer?.countCrash(event);
    const now = performance.now();
    this.crashLog.write(`crashing request ${event}`, {
      fingerprint,
      cleared: clearedAt > -Infinity,
      evidence: evidence.map(({ at, ...rest }) => ({ ...rest, age: Math.round(now - at) })),
    });
  }

  /** Records that this daemon has lost its path to the endpoints of a service, or has it again. */
  recordPath(service: string, lost: boolean): void {
    this.metricsServer?.countPathEvent(lost ? 'lost' : 'regained');
    const message = lost ? 'path to the endpoints is lost' : 'path to the endpoints is regained';
    this.logger.warn(message, { service });
  }

  /** Records how an attempt ended that was sent through another daemon. */
  recordRelay(peer: string, outcome: gateway.SlotReport['outcome']): void {
    this.metricsServer?.countPathEvent(outcome === 'success' ? 'relayed' : 'relay-failed');
    this.entryLog.write('request relayed', { peer, outcome });
  }

  /** Records what happened for lack of descriptors. */
  recordDescriptorEvent(event: gateway.DescriptorEvent, count: number): void {
    this.metricsServer?.countDescriptorEvents(event, count);
    this.descriptorLog.record(event, count);
  }

  close(): void {
    this.descriptorLog.close();
    this.entryLog.close();
    this.dispatchLog.close();
    this.announcementLog.close();
    this.crashLog.close();
    this.budgetLog.close();
    this.metricsServer?.close();
  }
}
