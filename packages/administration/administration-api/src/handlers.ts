/**
 * The request handlers of the administration API.
 */
import type * as http from 'node:http';
import * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';
import * as zod from 'zod';
import { findOwner, canRead, throwForbidden, requireOperator } from './authority.js';
import { readHistory } from './history.js';
import { parseWithSchema, readJson } from './http.js';
import type { AdministrationOptions } from './options.js';
import type { Principal } from './principal.js';
import type { SubmissionResult, ChangeSubmitter } from './change-submitter.js';

const DEFAULT_PAGE_LENGTH = 100;
const MAXIMUM_PAGE_LENGTH = 1000;

const { id, baseRevision, author, reason } = model.changeDraftSchema.shape;

const kindSchema = zod.enum(Object.keys(model.entitySchemas) as [model.EntityKind]);

const writeQuerySchema = zod.strictObject({
  id,
  author,
  reason,
  baseRevision: zod.coerce.number().pipe(baseRevision),
});

const historyQuerySchema = zod.strictObject({
  after: zod.coerce.number().int().min(0).default(0),
  limit: zod.coerce.number().int().min(1).max(MAXIMUM_PAGE_LENGTH).default(DEFAULT_PAGE_LENGTH),
});

const previewSchema = model.changeDraftSchema.pick({ baseRevision: true, operations: true });

const rollbackSchema = zod.strictObject({
  id,
  author,
  reason,
  baseRevision,
  revision: zod.number().int().min(0),
});

/** An authenticated request with its parsed query and path parameters. */
export interface ApiCall {
  readonly principal: Principal;
  readonly request: http.IncomingMessage;
  readonly query: URLSearchParams;
  /** The decoded path segments after the fixed path of the route. */
  readonly segments: readonly string[];
}

/** Handles a request and resolves to the body of the response with status 200. */
export type Handler = (call: ApiCall) => Promise<unknown>;

function readKind(call: ApiCall): model.EntityKind {
  return parseWithSchema(call.segments[0], kindSchema, 'AdministrationRequestInvalid');
}

function readQuery<Schema extends zod.ZodType>(call: ApiCall, schema: Schema): zod.infer<Schema> {
  return parseWithSchema(Object.fromEntries(call.query), schema, 'AdministrationRequestInvalid');
}

/** Implements each route of the API with the functions of its options. */
export class Handlers {
  constructor(
    private readonly options: AdministrationOptions,
    private readonly submission: ChangeSubmitter,
  ) {}

  /** `GET /v1/configuration/{kind}/{name}` */
  async getEntity(call: ApiCall): Promise<unknown> {
    const kind = readKind(call);
    const name = call.segments[1] ?? '';
    const configuration = this.submission.requireConfiguration();
    if (!canRead(call.principal, configuration, kind, name)) {
      throwForbidden();
    }
    const entity = configuration.entities(kind).get(name);
    if (entity === undefined) {
      throw new results.FailureError('ConfigurationNotFound', `${kind}/${name} does not exist`);
    }
    return { revision: configuration.revision, kind, entity };
  }

  /** `GET /v1/configuration/{kind}` */
  async listEntities(call: ApiCall): Promise<unknown> {
    const kind = readKind(call);
    const { principal } = call;
    const configuration = this.submission.requireConfiguration();
    if (kind === 'zone') {
      requireOperator(principal);
    }
    const entities = [...configuration.entities(kind).values()].filter(({ name }) =>
      canRead(principal, configuration, kind, name),
    );
    return { revision: configuration.revision, kind, entities };
  }

  /** `PUT /v1/configuration/{kind}/{name}` */
  async putEntity(call: ApiCall): Promise<SubmissionResult> {
    const kind = readKind(call);
    const name = call.segments[1] ?? '';
    const query = readQuery(call, writeQuerySchema);
    const entity = await readJson(call.request, model.entitySchemas[kind]);
    if (entity.name !== name) {
      const message = `the path names "${name}", but the body names "${entity.name}"`;
      throw new results.FailureError('AdministrationRequestInvalid', message);
    }
    const operation = { action: 'put', kind, entity } as model.Operation;
    return this.submission.submit(call.principal, { ...query, operations: [operation] });
  }

  /** `DELETE /v1/configuration/{kind}/{name}` */
  async removeEntity(call: ApiCall): Promise<SubmissionResult> {
    const kind = readKind(call);
    const name = call.segments[1] ?? '';
    const query = readQuery(call, writeQuerySchema);
    const operation: model.Operation = { action: 'remove', kind, name };
    return this.submission.submit(call.principal, { ...query, operations: [operation] });
  }

  /** `POST /v1/changes` */
  async postChange(call: ApiCall): Promise<SubmissionResult> {
    const draft = await readJson(call.request, model.changeDraftSchema);
    return this.submission.submit(call.principal, draft);
  }

  /** `POST /v1/changes/preview` */
  async previewChange(call: ApiCall): Promise<unknown> {
    return this.submission.preview(call.principal, await readJson(call.request, previewSchema));
  }

  /** `GET /v1/changes?after=&limit=` */
  async listChanges(call: ApiCall): Promise<unknown> {
    const { after, limit } = readQuery(call, historyQuerySchema);
    return readHistory(this.options, call.principal, after, limit);
  }

  /** `POST /v1/rollback` */
  async rollBack(call: ApiCall): Promise<SubmissionResult> {
    return this.submission.rollBack(call.principal, await readJson(call.request, rollbackSchema));
  }

  /** `GET /v1/status`; only operators see the number of members and the lagging daemons. */
  async getStatus(call: ApiCall): Promise<unknown> {
    const status = await this.options.fleetStatus();
    if (call.principal.kind === 'operator') {
      return status;
    }
    const zones = status.zones.map(({ zone, revisionInForce }) => ({ zone, revisionInForce }));
    return { acceptedRevision: status.acceptedRevision, zones };
  }

  /** `GET /v1/daemon` */
  async getDaemon(call: ApiCall): Promise<unknown> {
    requireOperator(call.principal);
    return this.options.daemonStatus();
  }

  /**
   * `GET /v1/explain/{requestId}`; an organisation sees requests to its own services only.
   * `askNext` lists the other daemons to which this one sent the request and that keep further
   * decisions.
   */
  async explain({ principal, segments }: ApiCall): Promise<unknown> {
    const { daemonName } = this.options;
    const requestId = segments[0] ?? '';
    const explanation = await this.options.explain(requestId);
    if (principal.kind === 'organisation') {
      const configuration = this.submission.requireConfiguration();
      const service = explanation?.service ?? '';
      if (findOwner(configuration, 'service', service) !== principal.organisation) {
        throwForbidden('the request is not known or is not under the authority of this token');
      }
    }
    if (explanation === undefined) {
      const message = `daemon "${daemonName}" keeps no decision about request "${requestId}"; ask the other daemons`;
      throw new results.FailureError('ConfigurationNotFound', message);
    }
    const dispatchers = explanation.decisions.map(({ dispatcher }) => dispatcher);
    return {
      ...explanation,
      daemon: daemonName,
      askNext: [...new Set(dispatchers)].filter(
        (name) => typeof name === 'string' && name !== daemonName,
      ),
    };
  }
}
