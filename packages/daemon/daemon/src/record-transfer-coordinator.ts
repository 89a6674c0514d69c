/**
 * Transfers idempotency records between daemons: sends the records of a stopping daemon and handles them
 * at its successor.
 */
import * as idempotency from '@dogwoodstall/idempotency';
import type * as membership from '@dogwoodstall/membership';
import type * as observability from '@dogwoodstall/observability';
import type * as peerLink from '@dogwoodstall/peer-link';
import * as results from '@dogwoodstall/results';
import type * as zod from 'zod';
import { READY_CONDITION } from './fleet-view.js';

/** Longest lifetime of a key that the schema of service contracts allows. */
const MAXIMUM_KEY_LIFETIME_MILLISECONDS = 86_400_000;

const MAXIMUM_SUCCESSORS_TRIED = 3;

type RecordHandlers = Pick<
  peerLink.PeerHandlers,
  'installRecords' | 'activateRecords' | 'completeRecord'
>;

/** Options of `RecordTransferCoordinator`. */
export interface RecordTransferCoordinatorOptions {
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
export class RecordTransferCoordinator {
  /** The procedures that a successor handles. */
  readonly handlers: RecordHandlers;

  private transfer: idempotency.RecordTransfer | undefined;

  private transferPromise: Promise<string | undefined> | undefined;

  constructor(private readonly options: RecordTransferCoordinatorOptions) {
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

  /** Sends a record that completed after the transfer to the successor. */
  sendCompletion(message: idempotency.CompleteRecord): void {
    this.transfer?.complete(message);
  }

  /**
   * Transfers all records to one live peer; resolves with its name, or with undefined when none accepted
   * them.
   */
  run(): Promise<string | undefined> {
    this.transferPromise ??= this.transferRecords();
    return this.transferPromise;
  }

  /** Waits for a transfer in progress; resolves with the name of the successor, if there is one. */
  async findSuccessor(): Promise<string | undefined> {
    return this.transferPromise;
  }

  private async transferRecords(): Promise<string | undefined> {
    const { keyHome, logger } = this.options;
    this.transfer = new idempotency.RecordTransfer({
      home: keyHome,
      peers: this.selectSuccessors(),
      announce: (peer, incarnations) =>
        logger.info('idempotency records were handed over', { peer, incarnations }),
    });
    const { peer, acknowledged } = await this.transfer.run();
    if (peer === undefined || !acknowledged) {
      logger.warn('no successor confirmed the idempotency records', { peer });
    }
    return peer;
  }

  /** Resolves when the last completion was acknowledged or abandoned. */
  async whenSent(): Promise<void> {
    await this.transfer?.waitForCompletions();
  }

  private activate(message: idempotency.ActivateRecords): void {
    this.options.keyHome.activateRecords(message);
    const expiresAt = Date.now() + MAXIMUM_KEY_LIFETIME_MILLISECONDS;
    this.options.members.announceKeyHome(Number(message.origin), expiresAt);
    this.options.logger.info('idempotency records were taken over', {
      incarnation: message.origin,
    });
  }

  // Prefers daemons of the same zone, so that the loss of a zone loses no more key homes than before.
  private selectSuccessors(): idempotency.RecordTransferPeer[] {
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
