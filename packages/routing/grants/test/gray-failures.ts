/**
 * A cell of unrepeatable work in virtual time, whose endpoints accept requests and never respond to most of those that
 * arrive in some spells. The durations of the spells and of the times between them are exponential.
 */
import * as fastCheck from 'fast-check';
import { VirtualService, createEndpoint, type Granted } from './fixture.js';

const SLOTS = 6;
const STEP_MILLISECONDS = 5;
const DEADLINE_MILLISECONDS = 6150;
const TARGET_MILLISECONDS = 1537;
/** Time after which a request is given up, the timeout of its route. */
const TIMEOUT_MILLISECONDS = 3000;
/** Share of the requests of a spell that get no response. */
const HANGING_SHARE = 0.75;
const MEAN_MILLISECONDS = 399;
const SPREAD = 0.47;
/** Share of the requests that take several times as long. */
const TAIL_SHARE = 0.01;
const TAIL_MULTIPLE = 5;
const ENTRY_COUNT = 45;
const RANDOM_NUMBERS = 100_000;
const WINDOW_MILLISECONDS = 2000;
/** Time after a spell from which its endpoint counts as sound again. */
const SOUND_AFTER_MILLISECONDS = 2000;

/** The load on the cell. */
export interface GrayFailureLoad {
  readonly endpoints: number;
  readonly requestsPerSecond: number;
  readonly milliseconds: number;
  /** Mean durations of the two states of an endpoint. */
  readonly healthy?: number;
  readonly failing?: number;
  /** Share of the requests that may be repeated. */
  readonly idempotentShare?: number;
}

/** What became of the requests that may not be repeated. */
export interface GrayFailureResult {
  readonly requests: number;
  readonly refused: number;
  readonly lost: number;
  readonly late: number;
  /** Endpoints that got a request in a window of two seconds, on average. */
  readonly used: number;
  /** Windows in which less than 0.7 of the sound endpoints got requests, while over a tenth was not served. */
  readonly starvedSpans: number;
}

interface Running {
  readonly granted: Granted;
  readonly startedAt: number;
  readonly endsAt: number;
  readonly hangs: boolean;
}

interface Sent {
  readonly at: number;
  readonly idempotent: boolean;
  readonly endpoint: string | undefined;
  readonly lost: boolean;
  readonly late: boolean;
}

/** Runs the load. */
export class GrayFailures {
  private readonly service: VirtualService;

  private readonly random: number[];

  private drawn = 0;

  private readonly spells = new Map<string, { readonly from: number; readonly until: number }[]>();

  private running: Running[] = [];

  private readonly waiting = new Map<string, { at: number; idempotent: boolean }>();

  private readonly sent: Sent[] = [];

  constructor(
    private readonly load: GrayFailureLoad,
    seed: number,
  ) {
    const ids = Array.from({ length: load.endpoints }, (_, index) => `e${index}`);
    this.service = new VirtualService(ids.map((id) => createEndpoint(id, { slots: SLOTS })));
    const fraction = fastCheck.noBias(fastCheck.nat({ max: 999_999 }));
    this.random = fastCheck
      .sample(fraction, { numRuns: RANDOM_NUMBERS, seed })
      .map((value) => (value + 0.5) / 1_000_000);
    for (const id of ids) {
      this.spells.set(id, this.drawSpells());
    }
  }

  run(): GrayFailureResult {
    const { requestsPerSecond, milliseconds, idempotentShare = 0 } = this.load;
    const startedAt = this.service.now;
    let due = 0;
    while (this.service.now < startedAt + milliseconds) {
      this.service.now += STEP_MILLISECONDS;
      this.finish();
      due += (requestsPerSecond * STEP_MILLISECONDS * 2 * this.draw()) / 1000;
      for (; due >= 1; due -= 1) {
        const idempotent = this.draw() < idempotentShare;
        const key = this.service.ask({
          idempotent,
          target: TARGET_MILLISECONDS,
          remaining: DEADLINE_MILLISECONDS,
          entry: `entry-${Math.floor(this.draw() * ENTRY_COUNT)}`,
        });
        this.waiting.set(key, { at: this.service.now, idempotent });
      }
      this.service.dispatcher.tick();
      this.start();
    }
    return this.evaluate(startedAt);
  }

  private draw(): number {
    this.drawn = (this.drawn + 1) % RANDOM_NUMBERS;
    return this.random[this.drawn] as number;
  }

  private drawService(): number {
    const normal = Math.sqrt(-2 * Math.log(this.draw())) * Math.cos(2 * Math.PI * this.draw());
    const typical = MEAN_MILLISECONDS * Math.exp(SPREAD * normal - SPREAD ** 2 / 2);
    return this.draw() < TAIL_SHARE ? typical * TAIL_MULTIPLE : typical;
  }

  private drawSpells(): { from: number; until: number }[] {
    const spells = [];
    const start = this.service.now;
    const { healthy = 7000, failing = 3000 } = this.load;
    let from = -Math.log(this.draw()) * healthy;
    if (this.draw() < failing / (healthy + failing)) {
      from = 0;
    }
    while (from < this.load.milliseconds) {
      const until = from - Math.log(this.draw()) * failing;
      spells.push({ from: from + start, until: until + start });
      from = until - Math.log(this.draw()) * healthy;
    }
    return spells;
  }

  private start(): void {
    const { now } = this.service;
    for (const [key, { at, idempotent }] of this.waiting) {
      const decision = this.service.decisions.get(key);
      if (decision !== undefined) {
        this.waiting.delete(key);
      }
      if (decision?.kind === 'grant') {
        const { id } = decision.endpoint;
        const fails = this.spells.get(id)?.some(({ from, until }) => from <= now && now < until);
        const hangs = fails === true && this.draw() < HANGING_SHARE;
        const service = this.drawService();
        const lost = hangs || service > TIMEOUT_MILLISECONDS;
        const endsAt = now + (lost ? TIMEOUT_MILLISECONDS : service);
        this.running.push({ granted: decision, startedAt: now, endsAt, hangs: lost });
        const late = endsAt - at > TARGET_MILLISECONDS;
        this.sent.push({ at, idempotent, endpoint: id, lost, late });
      } else if (decision?.kind === 'refuse') {
        this.sent.push({ at, idempotent, endpoint: undefined, lost: false, late: false });
      }
    }
  }

  private finish(): void {
    const { now, dispatcher } = this.service;
    const ended = this.running.filter(({ endsAt }) => endsAt <= now);
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
    for (const { granted, startedAt, hangs } of ended) {
      dispatcher.report(granted.grantId, {
        outcome: hangs ? 'abandoned' : 'success',
        elapsed: now - startedAt,
        load: -1,
        silent: hangs,
        rested: 0,
        announcement: null,
      });
    }
  }

  private evaluate(startedAt: number): GrayFailureResult {
    // The first seconds are those of a dispatcher without any knowledge.
    const from = startedAt + 4000;
    const counted = this.sent.filter(({ at, idempotent }) => at >= from && !idempotent);
    let used = 0;
    let spans = 0;
    let starvedSpans = 0;
    for (
      let at = from;
      at < this.service.now - WINDOW_MILLISECONDS;
      at += WINDOW_MILLISECONDS / 4
    ) {
      const inSpan = this.sent.filter((one) => at <= one.at && one.at < at + WINDOW_MILLISECONDS);
      const ids = new Set(inSpan.map(({ endpoint }) => endpoint));
      const sound = [...this.spells].filter(
        ([, spells]) =>
          !spells.some(
            (spell) =>
              spell.from < at + WINDOW_MILLISECONDS && at < spell.until + SOUND_AFTER_MILLISECONDS,
          ),
      );
      const soundUsed = sound.filter(([id]) => ids.has(id)).length;
      const lost = inSpan.filter((one) => one.lost || one.endpoint === undefined).length;
      const isLossy = lost > 0.1 * inSpan.length;
      starvedSpans += isLossy && soundUsed < 0.7 * sound.length ? 1 : 0;
      used += ids.size;
      spans += 1;
    }
    return {
      requests: counted.length,
      refused: counted.filter(({ endpoint }) => endpoint === undefined).length,
      lost: counted.filter(({ lost }) => lost).length,
      late: counted.filter(({ lost, late }) => late && !lost).length,
      used: used / spans,
      starvedSpans: starvedSpans / spans,
    };
  }
}
