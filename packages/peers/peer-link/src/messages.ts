/**
 * The messages between daemons, with limits on every list and text.
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

/** A stopped daemon whose idempotency records the announcing member holds. */
export const keyHomeSchema = zod.strictObject({
  incarnation: count,
  expiresAtEpochMilliseconds: zod.number(),
});

/** What is known about one member. */
export const memberUpdateSchema = zod.strictObject({
  name,
  zone: name,
  region: name,
  peerAddress: address,
  /** Start time of the process in epoch milliseconds with random low bits. */
  incarnation: count,
  /** Raised by the member itself, to refute a suspicion or to announce new data. */
  counter: count,
  state: zod.enum(['alive', 'suspect', 'leaving', 'failed']),
  /** What the member says about itself, such as `ready` or `stopping`. */
  condition: zod.string().max(40),
  /** Configuration revision in force. */
  revision: count,
  keyHomes: zod.array(keyHomeSchema).max(MAXIMUM_KEY_HOMES),
});

/** A configuration revision and the members that have it in force, each by a number of 32 bits. */
export const revisionGroupSchema = zod.tuple([count, zod.array(count).max(MAXIMUM_REVISIONS)]);

/** A doubt about a member that the receiver knows, by its number of 32 bits, with its counter. */
export const suspicionUpdateSchema = zod.tuple([count, count, zod.enum(['suspect', 'failed'])]);

const gossip = {
  from: memberUpdateSchema,
  updates: zod.array(memberUpdateSchema).max(MAXIMUM_UPDATES),
  doubts: zod.array(suspicionUpdateSchema).max(MAXIMUM_UPDATES),
  revisions: zod.array(revisionGroupSchema).max(MAXIMUM_REVISIONS),
};

/** The incarnation whose idempotency records move, and how often they have moved. */
const handover = { origin: name, epoch: count };

/** Input and output schema of every procedure. */
export const procedures = {
  /** Asks whether a member runs; `join` asks for every member that it knows. */
  probe: {
    input: zod.strictObject({ ...gossip, join: zod.boolean() }),
    output: zod.strictObject({
      ...gossip,
      updates: zod.array(memberUpdateSchema).max(MAXIMUM_MEMBERS),
    }),
  },
  /** Asks a member to probe another one. */
  indirectProbe: {
    input: zod.strictObject({ ...gossip, target: name, targetAddress: address }),
    output: zod.strictObject({
      reached: zod.boolean(),
      /** What the probed member says about itself, which refutes a suspicion. */
      target: memberUpdateSchema.optional(),
    }),
  },
  /** Tells a revision, with its change if that is small. */
  pushChange: {
    input: zod.strictObject({ from: name, revision: count, change: model.changeSchema.optional() }),
    output: zod.strictObject({ revision: count }),
  },
  /** Reads a page of changes, or of the whole configuration when the changes are not kept. */
  pullChanges: {
    input: zod.strictObject({
      after: count,
      /** Continues reading the whole configuration at this revision. */
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
  /** Exchanges the configuration revisions in force. */
  summary: {
    input: zod.strictObject({ from: name, revision: count }),
    output: zod.strictObject({
      revision: count,
      hasConfiguration: zod.boolean(),
      /** Time since the store was last read, as far as the daemon knows. */
      storeAgeMilliseconds: zod.number().min(0).optional(),
    }),
  },
  /** Hands over idempotency records, which stay inactive. */
  installRecords: {
    input: zod.strictObject({ ...handover, records: zod.array(record).max(MAXIMUM_RECORDS) }),
    output: zod.strictObject({ installed: count }),
  },
  /** Puts the records of a stopped daemon in force. */
  activateRecords: {
    input: zod.strictObject({ ...handover, recordCount: count }),
    output: zod.strictObject({ activated: zod.boolean() }),
  },
  /** Replaces a record whose request ended after the records were handed over. */
  completeRecord: {
    input: zod.strictObject({ ...handover, record }),
    output: zod.strictObject({ completed: zod.boolean() }),
  },
  /** Shares which backend servers announced that they drain, with the age of the announcement. */
  reportDrain: {
    input: zod.strictObject({
      from: name,
      drains: zod
        .array(zod.strictObject({ server: name, ageMilliseconds: zod.number().min(0) }))
        .max(MAXIMUM_REPORTS),
    }),
    output: zod.strictObject({ accepted: count }),
  },
  /** Shares the fingerprints of requests that crashed backend servers. */
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

/** The daemon that called; its name is the subject of its certificate. */
export interface Caller {
  readonly name: string;
}

/** The functions that answer the procedures; the owner of each registers its own. */
export type PeerHandlers = {
  [Name in ProcedureName]: (
    input: ProcedureInput<Name>,
    caller: Caller,
  ) => Promise<ProcedureOutput<Name>>;
};
