/**
 * Schemas of the messages between daemons, with limits on every list and string.
 */
import * as model from '@dogwoodstall/model';
import * as zod from 'zod';

const MAXIMUM_UPDATES = 32;
const MAXIMUM_MEMBERS = 4000;
const MAXIMUM_REVISIONS = 64;
const MAXIMUM_KEY_HOMES = 200;
const MAXIMUM_PAGE_CHANGES = 50;
const MAXIMUM_PAGE_OPERATIONS = 5000;
const MAXIMUM_RECORDS = 1000;
const MAXIMUM_REPORTS = 100;

const name = zod.string().min(1).max(100);
const address = zod.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/);
const count = zod.number().int().min(0);
const record = zod.record(zod.string(), zod.unknown());

/** The incarnation of a stopped daemon whose idempotency records the announcing member stores. */
export const keyHomeSchema = zod.strictObject({
  incarnation: count,
  expiresAtEpochMilliseconds: zod.number(),
});

/** The state of one member as known to the sender. */
export const memberUpdateSchema = zod.strictObject({
  name,
  zone: name,
  region: name,
  peerAddress: address,
  /** Start time of the process in epoch milliseconds with random low bits. */
  incarnation: count,
  /** Incremented by the member itself, to refute a suspicion or to announce new data. */
  counter: count,
  state: zod.enum(['alive', 'suspect', 'leaving', 'failed']),
  /** Condition that the member reports, such as `ready` or `stopping`. */
  condition: zod.string().max(40),
  /** Active configuration revision. */
  revision: count,
  keyHomes: zod.array(keyHomeSchema).max(MAXIMUM_KEY_HOMES),
});

/** A configuration revision and the 32-bit digests of the members on which it is active. */
export const revisionGroupSchema = zod.tuple([count, zod.array(count).max(MAXIMUM_REVISIONS)]);

/** A suspected or failed member that the receiver knows: 32-bit digest, counter and state. */
export const suspicionUpdateSchema = zod.tuple([count, count, zod.enum(['suspect', 'failed'])]);

const gossip = {
  from: memberUpdateSchema,
  updates: zod.array(memberUpdateSchema).max(MAXIMUM_UPDATES),
  doubts: zod.array(suspicionUpdateSchema).max(MAXIMUM_UPDATES),
  revisions: zod.array(revisionGroupSchema).max(MAXIMUM_REVISIONS),
};

/** The incarnation whose idempotency records are transferred, and the number of transfers. */
const transfer = { origin: name, epoch: count };

/** Input and output schema of every procedure. */
export const procedures = {
  /** Checks that a member is alive; `join` requests every member that it knows. */
  probe: {
    input: zod.strictObject({ ...gossip, join: zod.boolean() }),
    output: zod.strictObject({
      ...gossip,
      updates: zod.array(memberUpdateSchema).max(MAXIMUM_MEMBERS),
    }),
  },
  /** Requests a member to probe another one. */
  indirectProbe: {
    input: zod.strictObject({ ...gossip, target: name, targetAddress: address }),
    output: zod.strictObject({
      reached: zod.boolean(),
      /** The state that the probed member reports, which can refute a suspicion. */
      target: memberUpdateSchema.optional(),
    }),
  },
  /** Announces a revision, with its change if the change is small. */
  pushChange: {
    input: zod.strictObject({ from: name, revision: count, change: model.changeSchema.optional() }),
    output: zod.strictObject({ revision: count }),
  },
  /** Reads a page of changes, or of the full configuration when the changes are not retained. */
  pullChanges: {
    input: zod.strictObject({
      after: count,
      /** Continues reading the full configuration at this revision. */
      snapshotRevision: count.optional(),
      offset: count,
    }),
    output: zod.discriminatedUnion('kind', [
      zod.strictObject({
        kind: zod.literal('changes'),
        revision: count,
        changes: zod.array(model.changeSchema).max(MAXIMUM_PAGE_CHANGES),
      }),
      zod.strictObject({
        kind: zod.literal('snapshot'),
        revision: count,
        offset: count,
        operations: zod.array(model.operationSchema).max(MAXIMUM_PAGE_OPERATIONS),
        more: zod.boolean(),
      }),
    ]),
  },
  /** Exchanges the active configuration revisions. */
  summary: {
    input: zod.strictObject({ from: name, revision: count }),
    output: zod.strictObject({
      revision: count,
      hasConfiguration: zod.boolean(),
      /** Time since the last read of the store that the daemon knows of. */
      storeAgeMilliseconds: zod.number().min(0).optional(),
    }),
  },
  /** Transfers idempotency records, which stay inactive until `activateRecords`. */
  installRecords: {
    input: zod.strictObject({ ...transfer, records: zod.array(record).max(MAXIMUM_RECORDS) }),
    output: zod.strictObject({ installed: count }),
  },
  /** Activates the transferred records of a stopping daemon. */
  activateRecords: {
    input: zod.strictObject({ ...transfer, recordCount: count }),
    output: zod.strictObject({ activated: zod.boolean() }),
  },
  /** Completes a record whose request ended after the records were transferred. */
  completeRecord: {
    input: zod.strictObject({ ...transfer, record }),
    output: zod.strictObject({ completed: zod.boolean() }),
  },
  /** Reports backend servers that announced draining, with the age of each announcement. */
  reportDrain: {
    input: zod.strictObject({
      from: name,
      drains: zod
        .array(zod.strictObject({ server: name, ageMilliseconds: zod.number().min(0) }))
        .max(MAXIMUM_REPORTS),
    }),
    output: zod.strictObject({ accepted: count }),
  },
  /** Reports the fingerprints of requests that crashed backend servers. */
  reportCrash: {
    input: zod.strictObject({ from: name, reports: zod.array(record).max(MAXIMUM_REPORTS) }),
    output: zod.strictObject({ accepted: count }),
  },
} as const;

export type KeyHome = zod.infer<typeof keyHomeSchema>;
export type MemberUpdate = zod.infer<typeof memberUpdateSchema>;
export type SuspicionUpdate = zod.infer<typeof suspicionUpdateSchema>;
export type RevisionGroup = zod.infer<typeof revisionGroupSchema>;
export type ProcedureName = keyof typeof procedures;
export type ProcedureInput<Name extends ProcedureName> = zod.infer<
  (typeof procedures)[Name]['input']
>;
export type ProcedureOutput<Name extends ProcedureName> = zod.infer<
  (typeof procedures)[Name]['output']
>;

/** The calling daemon, identified by the common name of its certificate. */
export interface Caller {
  readonly name: string;
}

/** The handlers of the procedures; each component registers its own. */
export type PeerHandlers = {
  [Name in ProcedureName]: (
    input: ProcedureInput<Name>,
    caller: Caller,
  ) => Promise<ProcedureOutput<Name>>;
};
