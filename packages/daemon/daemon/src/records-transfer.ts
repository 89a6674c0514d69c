/**
 * The hand-over of idempotency records between daemons: what a stopping daemon sends, and what its
 * successor answers.
 */
import * as idempotency from '@dogwoodstall/idempotency';
import type * as membership from '@dogwoodstall/membership';
import type * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import * as results from '@dogwoodstall/results';
import type * as zod from 'zod';
import { READY_CONDITION } from './fleet-view.js';

/** Longest lifetime of a key, from the schema of the contract. */
const MAXIMUM_KEY_LIFETIME_MILLISECONDS = 86_400_000;

const MAXIMUM_SUCCESSORS_TRIED = 3;

type RecordHandlers = Pick<
  peerLink.PeerHandlers,
  'installRecords' | 'activateRecords' | 'completeRecord'
>;

/** Options of `RecordsTransfer`. */
export interface RecordsTransferOptions {
  readonly keyHome: idempotency.KeyHome;
  readonly members: Pick<
    membership.Membership,
    'self' | 'members' | 'isReachable' | 'announceKeyHome'
  >;
  readonly links: Pick<peerLink.PeerLinks, 'linkTo'>;
  readonly logger: observability.ComponentLogger;
}

function parseMessage<Schema extends zod.ZodType>(
  schema: Schema,
  message: unknown,
): zod.infer<Schema> {
  const parsed = schema.safeParse(message);
  if (!parsed.success) {
    throw new results.FailureError('PeerMessageInvalid', parsed.error.message);
  }
  return parsed.data;
}

/** Sends and receives idempotency records. */
export class RecordsTransfer {
  /** The procedures that a successor answers. */
  readonly handlers: RecordHandlers;

  private handOver: idempotency.RecordTransfer | undefined;

  private running: Promise<string | undefined> | undefined;

  constructor(private readonly options: RecordsTransferOptions) {
    const { keyHome } = options;
    this.handlers = {
      installRecords: async (message) => {
        keyHome.installRecords(parseMessage(idempotency.installRecordsSchema, message));
        return { installed: message.records.length };
      },
      activateRecords: async (message) => {
        this.activate(parseMessage(idempotency.activateRecordsSchema, message));
        return { activated: true };
      },
      completeRecord: async (message) => {
        keyHome.completeRecord(parseMessage(idempotency.completeRecordSchema, message));
        return { completed: true };
      },
    };
  }

  /** Sends a record that ended after the hand-over to the successor. */
  complete(message: idempotency.CompleteRecord): void {
    this.handOver?.complete(message);
  }

  /**
   * Hands all records over to one live peer; resolves with its name, or with undefined when none took
   * them.
   */
  run(): Promise<string | undefined> {
    this.running ??= this.handOverRecords();
    return this.running;
  }

  /** Resolves with the name of the new home when a hand-over has begun, and waits for its end. */
  async findSuccessor(): Promise<string | undefined> {
    return this.running;
  }

  private async handOverRecords(): Promise<string | undefined> {
    const { keyHome, logger } = this.options;
    this.handOver = new idempotency.RecordTransfer({
      home: keyHome,
      peers: this.chooseSuccessors(),
      announce: (peer, incarnations) =>
        logger.info('idempotency records were handed over', { peer, incarnations }),
    });
    const { peer, acknowledged } = await this.handOver.run();
    if (peer === undefined || !acknowledged) {
      logger.warn('no successor confirmed the idempotency records', { peer });
    }
    return peer;
  }

  /** Resolves when the last completion was acknowledged or given up. */
  async whenSent(): Promise<void> {
    await this.handOver?.waitForCompletions();
  }

  private activate(message: idempotency.ActivateRecords): void {
    this.options.keyHome.activateRecords(message);
    const expiresAt = Date.now() + MAXIMUM_KEY_LIFETIME_MILLISECONDS;
    this.options.members.announceKeyHome(Number(message.origin), expiresAt);
    this.options.logger.info('idempotency records were taken over', {
      incarnation: message.origin,
    });
  }

  // A daemon of the same zone comes first: the loss of a zone then loses no more homes than before.
  private chooseSuccessors(): idempotency.RecordTransferPeer[] {
    const { members } = this.options;
    const candidates: membership.Member[] = [];
    for (const member of members.members()) {
      const isLive = member.state === 'alive' && member.condition === READY_CONDITION;
      if (isLive && member.name !== members.self.name && members.isReachable(member.name)) {
        candidates.push(member);
      }
    }
    const { zone } = members.self;
    candidates.sort((left, right) => Number(right.zone === zone) - Number(left.zone === zone));
    return candidates.slice(0, MAXIMUM_SUCCESSORS_TRIED).map((member) => this.createPeer(member));
  }

  private createPeer(member: membership.Member): idempotency.RecordTransferPeer {
    const link = this.options.links.linkTo({ name: member.name, peerAddress: member.peerAddress });
    return {
      name: member.name,
      install: async (message) => {
        await link.call('installRecords', message);
      },
      activate: async (message) => {
        await link.call('activateRecords', message);
      },
      complete: async (message) => {
        await link.call('completeRecord', message);
      },
    };
  }
}
