/**
 * Shares the fingerprints of requests that crash backend servers between the daemons of a region, so
 * that a resend through another dispatcher does not crash a further server.
 */
import * as crashGuard from '@dogwoodstall/crash-guard';
import type * as membership from '@dogwoodstall/membership';
import type * as peerLink from '@dogwoodstall/peer-link';
import * as results from '@dogwoodstall/results';
import * as zod from 'zod';

const REPORT_INTERVAL_MILLISECONDS = 500;
const MAXIMUM_REPORTS = 100;
/** Peers that one daemon reports to; the others detect the crash when they dispatch the request. */
const MAXIMUM_PEERS = 64;
const MAXIMUM_LOSSES = 4;

const entrySchema = zod.strictObject({
  organisation: zod.string().min(1).max(100),
  digest: zod.string().max(200),
  losses: zod.array(zod.string().max(300)).max(MAXIMUM_LOSSES),
  ageMilliseconds: zod.number().min(0),
});

/** Options of `CrashReports`. */
export interface CrashReportsOptions {
  readonly guard: crashGuard.CrashGuard;
  readonly members: Pick<membership.Membership, 'self' | 'members' | 'isReachable'>;
  readonly links: Pick<peerLink.PeerLinks, 'linkTo'>;
}

/** Sends new entries to the daemons of the region and imports theirs. */
export class CrashReports {
  readonly handlers: Pick<peerLink.PeerHandlers, 'reportCrash'>;

  private reportedLosses = new Map<string, number>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: CrashReportsOptions) {
    this.handlers = {
      reportCrash: async ({ reports }) => ({ accepted: this.importReports(reports) }),
    };
  }

  start(): void {
    this.timer = setInterval(() => this.send(), REPORT_INTERVAL_MILLISECONDS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private importReports(reports: readonly unknown[]): number {
    const parsed = zod.array(entrySchema).safeParse(reports);
    if (!parsed.success) {
      throw new results.FailureError('PeerMessageInvalid', parsed.error.message);
    }
    this.options.guard.importEntries(parsed.data);
    return parsed.data.length;
  }

  private takeNewEntries(): crashGuard.CrashEntry[] {
    const current = new Map<string, number>();
    const newEntries: crashGuard.CrashEntry[] = [];
    for (const entry of this.options.guard.exportEntries()) {
      const key = `${entry.organisation}/${entry.digest}`;
      current.set(key, entry.losses.length);
      if (this.reportedLosses.get(key) !== entry.losses.length) {
        newEntries.push(entry);
      }
    }
    this.reportedLosses = current;
    return newEntries.slice(0, MAXIMUM_REPORTS);
  }

  /** Sends new entries; also called on each loss, as a resend may go to another dispatcher at once. */
  send(): void {
    const reports = this.takeNewEntries().map((entry) => ({ ...entry }));
    if (reports.length === 0) {
      return;
    }
    const { members, links } = this.options;
    const { self } = members;
    let reportedPeers = 0;
    for (const member of members.members()) {
      if (reportedPeers >= MAXIMUM_PEERS) {
        return;
      }
      const isPeer = member.name !== self.name && member.region === self.region;
      if (isPeer && member.state === 'alive' && members.isReachable(member.name)) {
        const link = links.linkTo({ name: member.name, peerAddress: member.peerAddress });
        // A lost report costs at most one more server, because the next loss is reported again.
        link.call('reportCrash', { from: self.name, reports }).catch(() => {});
        reportedPeers += 1;
      }
    }
  }
}
