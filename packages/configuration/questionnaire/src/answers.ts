/**
 * The questions that a new team answers, as the schema of a TOML file.
 */
import * as model from '@dogwoodstall/model';
import * as zod from 'zod';

const MAXIMUM_WAIT_MILLISECONDS = 3_600_000;
const MAXIMUM_UPLOAD_MEGABYTES = 100_000;

const { name } = model.zoneSchema.shape;
const { address } = model.backendServerSchema.shape;
const share = zod.number().min(0).max(1);
const waitMilliseconds = zod.number().int().min(1).max(MAXIMUM_WAIT_MILLISECONDS);
const uploadMegabytes = zod.number().min(0).max(MAXIMUM_UPLOAD_MEGABYTES);

/** What it costs when a request is lost or runs twice. */
const costSchema = zod.enum(['none', 'low', 'high']);

const trafficSchema = zod.strictObject({
  meanRequestsPerSecond: zod.number().positive(),
  peakRequestsPerSecond: zod.number().positive(),
  /** Largest share of the peak that one calling organisation may have; absent: no limit. */
  largestOrganisationShare: share.positive().optional(),
});

const requestsSchema = zod.strictObject({
  /** Time that a backend server takes for a usual request. */
  typicalMilliseconds: zod.number().positive(),
  /** Share of the requests that take many times longer. */
  longShare: share.default(0),
  /** Time that a backend server takes for a long request. */
  longMilliseconds: zod.number().positive().optional(),
  largestUploadMegabytes: uploadMegabytes.default(1),
  largestAnswerKilobytes: zod.number().min(0).max(1024).default(64),
});

const tolerancesSchema = zod.strictObject({
  /** How long a caller waits for the whole answer. */
  callerWaitMilliseconds: waitMilliseconds,
  /** One-way network time between a caller and the fleet. */
  callerLatencyMilliseconds: zod.number().min(0).default(0),
  lostRequestCost: costSchema,
  doubledRequestCost: costSchema,
  /** How long after an unclear outcome a caller may still resend. */
  resendWithinMinutes: zod.number().positive().max(1440).default(60),
  /** How long a fresh backend server is slower than the others. */
  coldStartSeconds: zod.number().positive().max(3600).default(10),
  /** Whether callers must present the token of an organisation. */
  callersHaveTokens: zod.boolean().default(false),
});

const pathSchema = zod.strictObject({
  /** Name of the route; made from service, path and position when absent. */
  name: name.optional(),
  path: model.routeSchema.shape.pathPrefix,
  methods: model.routeSchema.shape.methods,
  /** `none`: only reads. `repeatable`: a repeated request changes nothing more. `once`: must not repeat. */
  effect: zod.enum(['none', 'repeatable', 'once']),
  takesLong: zod.boolean().default(false),
  /** How long a caller waits on this path, where it differs. */
  callerWaitMilliseconds: waitMilliseconds.optional(),
  /** Largest upload on this path, where it differs. */
  largestUploadMegabytes: uploadMegabytes.optional(),
});

const serverGroupSchema = zod.strictObject({
  zone: name,
  /** Requests that one backend server runs at the same time. */
  slots: model.backendServerSchema.shape.slots,
  /** Connections that one backend server accepts. */
  connections: model.backendServerSchema.shape.connectionLimit,
  addresses: zod.array(address).min(1),
});

const serviceAnswersSchema = zod.strictObject({
  name,
  hosts: zod.array(model.routeSchema.shape.host).min(1),
  traffic: trafficSchema,
  requests: requestsSchema,
  tolerances: tolerancesSchema,
  paths: zod.array(pathSchema).min(1),
  serverGroups: zod.array(serverGroupSchema).min(1),
});

/** All answers of one organisation. */
export const answersSchema = zod.strictObject({
  organisation: model.organisationSchema,
  zones: zod.array(model.zoneSchema).min(1),
  services: zod.array(serviceAnswersSchema).min(1),
});

/** The checked answers of one organisation. */
export type Answers = zod.infer<typeof answersSchema>;
/** Answers as a team writes them, before defaults are filled in. */
export type AnswersInput = zod.input<typeof answersSchema>;
/** The answers about one service. */
export type ServiceAnswers = Answers['services'][number];
/** The answers about one path of a service. */
export type PathAnswers = ServiceAnswers['paths'][number];
