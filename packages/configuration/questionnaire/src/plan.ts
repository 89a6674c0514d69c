/**
 * Generates a configuration from questionnaire answers.
 */
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as settings from '@dogwoodstall/settings';
import { answersSchema, type Answers, type ServiceAnswers } from './answers.js';
import { findContradictions } from './contradictions.js';
import { deriveContract, type DerivedValue } from './contract.js';
import { computeLoad, type ServiceLoad } from './load.js';
import { deriveRoutes } from './routes.js';

const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** The reason for the value of one field of an entity. */
export interface PlanReason extends DerivedValue {
  /** Kind and name of the entity, `service/offers`. */
  readonly entity: string;
  readonly field: string;
}

/** A generated configuration with the reasons for its values. */
export interface Plan {
  readonly operations: model.Operation[];
  readonly reasons: PlanReason[];
  /** Risks that are allowed by the answers but that the team should review. */
  readonly warnings: string[];
}

/**
 * Parses and validates the answers in TOML text.
 *
 * Throws `SettingsSyntax`, or `QuestionnaireInvalid` with file, line and key of each problem.
 */
export function parseAnswers(text: string, fileName: string): Answers {
  const value = settings.parseTomlText(text, fileName);
  const document: settings.TomlDocument = { text, fileName, value };
  const invalidKind = 'QuestionnaireInvalid';
  const answers = settings.validateToml(document, answersSchema, { invalidKind });
  const additionalProblems = findContradictions(answers);
  return settings.validateToml(document, answersSchema, { invalidKind, additionalProblems });
}

function assertNoContradictions(answers: Answers): void {
  const problems = findContradictions(answers);
  if (problems.length > 0) {
    const lines = problems.map(({ path, message }) => `${settings.formatPath(path)}: ${message}`);
    throw new results.FailureError('QuestionnaireInvalid', lines.join('\n'));
  }
}

function addReasons(
  plan: Plan,
  entity: string,
  fields: Readonly<Record<string, DerivedValue | undefined>>,
): void {
  for (const [field, derived] of Object.entries(fields)) {
    if (derived !== undefined) {
      plan.reasons.push({ entity, field, ...derived });
    }
  }
}

function createServers(service: ServiceAnswers): model.BackendServer[] {
  const servers: model.BackendServer[] = [];
  for (const group of service.serverGroups) {
    for (const address of group.addresses) {
      servers.push({
        name: `${service.name}-${servers.length + 1}`,
        service: service.name,
        address,
        zone: group.zone,
        slots: group.slots,
        connectionLimit: group.connections,
        draining: false,
      });
    }
  }
  return servers;
}

function findLoadWarnings(service: ServiceAnswers, load: ServiceLoad): string[] {
  const warnings: string[] = [];
  if (load.peakSlots > load.slots) {
    warnings.push(
      `service/${service.name}: the peak needs ${Math.ceil(load.peakSlots)} slots and ${load.slots} exist; excess requests are rejected as "not run"`,
    );
  }
  const zones = new Set(service.serverGroups.map((group) => group.zone));
  if (zones.size === 1) {
    warnings.push(`service/${service.name}: all backend servers are in one zone`);
  }
  if (load.smallestRegionSlots === load.largestServerSlots) {
    warnings.push(
      `service/${service.name}: a region has one backend server, which is never ejected`,
    );
  }
  return warnings;
}

function findPathWarnings(service: ServiceAnswers): string[] {
  const warnings: string[] = [];
  for (const path of service.paths) {
    const unsafe = path.methods.find((method) => !SAFE_METHODS.has(method));
    if (path.effect === 'none' && unsafe !== undefined) {
      warnings.push(
        `service/${service.name}: ${unsafe} ${path.path} is declared to change nothing and may be repeated`,
      );
    }
  }
  if (service.requests.longShare > 0 && !service.paths.some((path) => path.takesLong)) {
    warnings.push(
      `service/${service.name}: long requests exist, but no path has takesLong = true; short requests cannot be separated from them`,
    );
  }
  return warnings;
}

function addService(plan: Plan, answers: Answers, service: ServiceAnswers): void {
  const load = computeLoad(answers, service);
  const fields = deriveContract(service, load);
  const values = Object.entries(fields).map(([field, { value }]) => [field, value] as const);
  const contract = model.contractSchema.parse(Object.fromEntries(values));
  const entity = { name: service.name, organisation: answers.organisation.name, contract };
  plan.operations.push({ action: 'put', kind: 'service', entity });
  addReasons(plan, `service/${service.name}`, fields);
  for (const server of createServers(service)) {
    plan.operations.push({ action: 'put', kind: 'backendServer', entity: server });
  }
  for (const { route, reasons } of deriveRoutes(service)) {
    plan.operations.push({ action: 'put', kind: 'route', entity: route });
    addReasons(plan, `route/${route.name}`, reasons);
  }
  plan.warnings.push(...findLoadWarnings(service, load), ...findPathWarnings(service));
}

function assertUniqueNames(operations: readonly model.Operation[]): void {
  const seen = new Set<string>();
  for (const operation of operations) {
    const name = operation.action === 'put' ? operation.entity.name : operation.name;
    const key = `${operation.kind}/${name}`;
    if (seen.has(key)) {
      throw new results.FailureError('QuestionnaireInvalid', `two entities are named ${key}`);
    }
    seen.add(key);
  }
}

function assertValidConfiguration(operations: readonly model.Operation[]): void {
  assertUniqueNames(operations);
  const configuration = model.Configuration.fromOperations(1, operations);
  const [problem] = model.validateConfiguration(configuration);
  if (problem !== undefined) {
    throw new results.FailureError('QuestionnaireInvalid', `${problem.entity}: ${problem.message}`);
  }
}

/**
 * Generates the configuration for a team's answers: operations that create referenced entities first,
 * a reason for each generated value, and warnings.
 *
 * Throws `QuestionnaireInvalid` if answers contradict each other or if the generated configuration is
 * invalid.
 */
export function generatePlan(answers: Answers): Plan {
  assertNoContradictions(answers);
  const plan: Plan = { operations: [], reasons: [], warnings: [] };
  for (const zone of answers.zones) {
    plan.operations.push({ action: 'put', kind: 'zone', entity: zone });
  }
  plan.operations.push({ action: 'put', kind: 'organisation', entity: answers.organisation });
  for (const service of answers.services) {
    addService(plan, answers, service);
  }
  assertValidConfiguration(plan.operations);
  return plan;
}
