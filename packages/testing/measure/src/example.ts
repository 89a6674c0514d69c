/**
 * Worked examples: a local fleet whose configuration is generated from the answers in
 * `examples/NAME/questionnaire.toml`.
 */
import * as fileSystem from 'node:fs/promises';
import * as model from '@dogwoodstall/model';
import * as questionnaire from '@dogwoodstall/questionnaire';
import * as results from '@dogwoodstall/results';
import { callerTokenOf, digestToken, type PlacedServer } from './fleet/first-change.js';
import type { ServiceDescription, Topology } from './fleet/topology.js';

const examplesDirectory = new URL('../../../../../examples/', import.meta.url);
const DAEMONS_PER_ZONE = 1;

/** The topology and the configuration of a local fleet that runs an example. */
export interface Example {
  readonly topology: Topology;
  /** Returns the generated configuration with the addresses of the stand-ins. */
  readonly createFirstChange: (servers: readonly PlacedServer[]) => model.Change;
  /** Warnings about answers that are valid but may be mistakes. */
  readonly warnings: readonly string[];
}

async function readAnswersText(name: string): Promise<string> {
  const file = new URL(`${encodeURIComponent(name)}/questionnaire.toml`, examplesDirectory);
  try {
    return await fileSystem.readFile(file, 'utf8');
  } catch (cause) {
    throw new results.FailureError('MeasurementUnknown', `no example "${name}"`, { cause });
  }
}

// The stand-ins of one service run in one process with the same slots and connection limit.
function describeServers(
  service: questionnaire.ServiceAnswers,
): Pick<ServiceDescription, 'serverCount' | 'slots' | 'connectionLimit'> {
  const [first] = service.serverGroups;
  const slots = first?.slots ?? 1;
  const connectionLimit = first?.connections ?? 1;
  let serverCount = 0;
  for (const group of service.serverGroups) {
    if (group.slots !== slots || group.connections !== connectionLimit) {
      const message = `service "${service.name}": the server groups of an example have the same slots and connections`;
      throw new results.FailureError('QuestionnaireInvalid', message);
    }
    serverCount += group.addresses.length;
  }
  return { serverCount, slots, connectionLimit };
}

function describeService(
  answers: questionnaire.Answers,
  operations: readonly model.Operation[],
  service: questionnaire.ServiceAnswers,
): ServiceDescription {
  const routes: model.Route[] = [];
  let contract: model.Contract | undefined;
  for (const operation of operations) {
    if (operation.action === 'put' && operation.kind === 'route') {
      if (operation.entity.service === service.name) {
        routes.push(operation.entity);
      }
    } else if (operation.action === 'put' && operation.kind === 'service') {
      contract = operation.entity.name === service.name ? operation.entity.contract : contract;
    }
  }
  return {
    name: service.name,
    organisation: answers.organisation.name,
    ...(contract !== undefined && { contract }),
    routes,
    ...describeServers(service),
    workMilliseconds: service.requests.typicalMilliseconds,
  };
}

function adaptOperation(
  operation: model.Operation,
  addresses: ReadonlyMap<string, string>,
): model.Operation {
  if (operation.action !== 'put') {
    return operation;
  }
  if (operation.kind === 'organisation') {
    const { entity } = operation;
    const digest = digestToken(callerTokenOf(entity.name));
    const callerTokenDigests = [...entity.callerTokenDigests, digest];
    return { ...operation, entity: { ...entity, callerTokenDigests } };
  }
  if (operation.kind === 'backendServer') {
    const address = addresses.get(operation.entity.name) ?? operation.entity.address;
    return { ...operation, entity: { ...operation.entity, address } };
  }
  return operation;
}

/** Reads an example; throws `MeasurementUnknown`, `SettingsSyntax` or `QuestionnaireInvalid`. */
export async function readExample(name: string): Promise<Example> {
  const text = await readAnswersText(name);
  const answers = questionnaire.parseAnswers(text, `examples/${name}/questionnaire.toml`);
  const plan = questionnaire.generatePlan(answers);
  return {
    warnings: plan.warnings,
    topology: {
      zones: answers.zones,
      daemonsPerZone: DAEMONS_PER_ZONE,
      services: answers.services.map((service) =>
        describeService(answers, plan.operations, service),
      ),
    },
    createFirstChange: (servers) => {
      const addresses = new Map(servers.map((server) => [server.name, server.address]));
      return model.changeSchema.parse({
        id: `example-${name}`,
        baseRevision: 0,
        revision: 1,
        author: 'local fleet',
        reason: `generated from examples/${name}/questionnaire.toml`,
        operations: plan.operations.map((operation) => adaptOperation(operation, addresses)),
        acceptedAtEpochMilliseconds: Date.now(),
      });
    },
  };
}
