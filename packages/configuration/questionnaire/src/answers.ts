/**
 * Schema of the questionnaire that a new team answers in a TOML file.
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

/** Cost of a request that is lost or executed twice. */
const costSchema = zod.enum(['none', 'low', 'high']);

const trafficSchema = zod.strictObject({
  meanRequestsPerSecond: zod.number().positive(),
  peakRequestsPerSecond: zod.number().positive(),
  /** Maximum share of the peak traffic for one calling organisation; unlimited if absent. */
  largestOrganisationShare: share.positive().optional(),
});

const requestsSchema = zod.strictObject({
  /** Time that a backend server takes for a typical request. */
  typicalMilliseconds: zod.number().positive(),
  /** Share of the requests that take many times longer than a typical one. */
  longShare: share.default(0),
  /** Time that a backend server takes for a long request. */
  longMilliseconds: zod.number().positive().optional(),
  largestUploadMegabytes: uploadMegabytes.default(1),
  largestAnswerKilobytes: zod.number().min(0).max(1024).default(64),
});

const tolerancesSchema = zod.strictObject({
  /** Time that a caller waits for the complete response. */
  callerWaitMilliseconds: waitMilliseconds,
  /** One-way network latency between a caller and the fleet. */
  callerLatencyMilliseconds: zod.number().min(0).default(0),
  lostRequestCost: costSchema,
  doubledRequestCost: costSchema,
  /** Time during which a caller may resend a request whose outcome is unknown. */
  resendWithinMinutes: zod.number().positive().max(1440).default(60),
  /** Time during which a newly started backend server is slower than the others. */
  coldStartSeconds: zod.number().positive().max(3600).default(10),
  /** Whether callers must present the token of an organisation. */
  callersHaveTokens: zod.boolean().default(false),
});

const pathSchema = zod.strictObject({
  /** Name of the route; derived from the service name and the position of the path if absent. */
  name: name.optional(),
  path: model.routeSchema.shape.pathPrefix,
  methods: model.routeSchema.shape.methods,
  /**
   * `none`: requests only read. `repeatable`: repeating a request has no further effect. `once`: a
   * request must not be executed more than once.
   */
  effect: zod.enum(['none', 'repeatable', 'once']),
  takesLong: zod.boolean().default(false),
  /** Overrides `tolerances.callerWaitMilliseconds` for this path. */
  callerWaitMilliseconds: waitMilliseconds.optional(),
  /** Overrides `requests.largestUploadMegabytes` for this path. */
  largestUploadMegabytes: uploadMegabytes.optional(),
});

const serverGroupSchema = zod.strictObject({
  zone: name,
  /** Maximum number of concurrent requests of one backend server. */
  slots: model.backendServerSchema.shape.slots,
  /** Maximum number of connections to one backend server. */
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

/** Schema of the answers of one organisation. */
export const answersSchema = zod.strictObject({
  organisation: model.organisationSchema,
  zones: zod.array(model.zoneSchema).min(1),
  services: zod.array(serviceAnswersSchema).min(1),
});

/** Validated answers of one organisation. */
export type Answers = zod.infer<typeof answersSchema>;
/** Answers as a team writes them, before defaults are applied. */
export type AnswersInput = zod.input<typeof answersSchema>;
/** The answers about one service. */
export type ServiceAnswers = Answers['services'][number];
/** The answers about one path of a service. */
export type PathAnswers = ServiceAnswers['paths'][number];
