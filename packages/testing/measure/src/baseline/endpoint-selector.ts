/**
 * Endpoint selection of the baseline daemon, with passive ejection: each daemon decides from its own
 * requests only. Measurements compare the product with it.
 */
import type * as dispatch from '@dogwoodstall/dispatch';
import type * as health from '@dogwoodstall/health';
import type * as model from '@dogwoodstall/model';
import * as results from '@dogwoodstall/results';

/** Endpoint selection policies of the baseline daemon. */
export const selectionPolicies = ['random', 'roundRobin', 'leastOutstanding'] as const;

export type SelectionPolicy = (typeof selectionPolicies)[number];

/** Consecutive failures until an endpoint is ejected, as is usual for passive ejection. */
const CONSECUTIVE_FAILURES = 5;

/** Duration of the first ejection, a usual value; every further one of an endpoint is longer by this. */
const EJECTION_MILLISECONDS = 30_000;

/** Share of the endpoints that one daemon may eject. */
const MAXIMUM_EJECTED_SHARE = 0.5;

const failures: ReadonlySet<health.OutcomeKind> = new Set([
  'server-error',
  'timeout',
  'refused',
  'reset',
  'cut-answer',
]);

interface EndpointState {
  readonly server: model.BackendServer;
  outstanding: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: number;
}

/** Ejections of one endpoint by one daemon. */
export interface EndpointCounts {
  readonly name: string;
  readonly ejections: number;
  readonly ejected: boolean;
}

/** Options of `BaselineEndpointSelector`. */
export interface BaselineEndpointSelectorOptions {
  readonly servers: readonly model.BackendServer[];
  readonly policy: SelectionPolicy;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** Selects endpoints of one service from the requests of one daemon only, without a queue. */
export class BaselineEndpointSelector {
  private readonly states: readonly EndpointState[];

  private cursor: number;

  constructor(private readonly options: BaselineEndpointSelectorOptions) {
    this.states = options.servers.map((server) => ({
      server,
      outstanding: 0,
      consecutiveFailures: 0,
      ejections: 0,
      ejectedUntil: -Infinity,
    }));
    // With a common start, all daemons would send their requests to the same endpoints in lockstep.
    this.cursor = Math.floor(options.random() * options.servers.length);
  }

  /** Returns a grant immediately; throws `NoEndpoint` when every endpoint is excluded. */
  acquire(excluded: ReadonlySet<string>): dispatch.SlotGrant {
    const state = this.selectEndpoint(excluded);
    if (state === undefined) {
      throw new results.FailureError('NoEndpoint');
    }
    state.outstanding += 1;
    let released = false;
    return {
      endpoint: state.server,
      queuedMilliseconds: 0,
      release: (outcome) => {
        if (!released) {
          released = true;
          this.release(state, outcome);
        }
      },
    };
  }

  /** Returns the ejections of every endpoint. */
  listEjections(): EndpointCounts[] {
    const now = this.options.now();
    return this.states.map(({ server, ejections, ejectedUntil }) => ({
      name: server.name,
      ejections,
      ejected: ejectedUntil > now,
    }));
  }

  private selectEndpoint(excluded: ReadonlySet<string>): EndpointState | undefined {
    const now = this.options.now();
    const allowed = this.states.filter(({ server }) => !excluded.has(server.name));
    const usable = allowed.filter(({ ejectedUntil }) => ejectedUntil <= now);
    const candidates = usable.length > 0 ? usable : allowed;
    const { policy, random } = this.options;
    if (policy === 'roundRobin') {
      this.cursor += 1;
      return candidates[this.cursor % Math.max(1, candidates.length)];
    }
    const least = Math.min(...candidates.map(({ outstanding }) => outstanding));
    const finalists =
      policy === 'random'
        ? candidates
        : candidates.filter(({ outstanding }) => outstanding === least);
    return finalists[Math.floor(random() * finalists.length)];
  }

  private release(released: EndpointState, outcome: health.AttemptOutcome): void {
    const state = released;
    state.outstanding -= 1;
    if (!failures.has(outcome.kind)) {
      state.consecutiveFailures = outcome.kind === 'success' ? 0 : state.consecutiveFailures;
      return;
    }
    state.consecutiveFailures += 1;
    if (state.consecutiveFailures >= CONSECUTIVE_FAILURES) {
      this.eject(state);
    }
  }

  private eject(ejected: EndpointState): void {
    const state = ejected;
    const now = this.options.now();
    const current = this.states.filter(({ ejectedUntil }) => ejectedUntil > now).length;
    if (state.ejectedUntil <= now && current + 1 <= this.states.length * MAXIMUM_EJECTED_SHARE) {
      state.ejections += 1;
      state.consecutiveFailures = 0;
      state.ejectedUntil = now + EJECTION_MILLISECONDS * state.ejections;
    }
  }
}
