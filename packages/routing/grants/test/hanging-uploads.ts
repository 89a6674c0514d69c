/**
 * A service of uploads in virtual time, whose endpoints accept requests and do not respond for some seconds at a time.
 * A request that meets such a spell hangs until its deadline, long after the endpoint has recovered.
 */
import * as fastCheck from 'fast-check';
import type * as grants from '../src/index.js';
import { VirtualService, createEndpoint } from './fixture.js';

const ENDPOINTS = 9;
const SLOTS = 4;
const STEP_MILLISECONDS = 10;
const REQUESTS_PER_SECOND = 50;
const DEADLINE_MILLISECONDS = 6000;
const TARGET_MILLISECONDS = 1500;
const HEALTHY_MILLISECONDS = { min: 4000, max: 12_000 };
const FAILING_MILLISECONDS = { min: 2000, max: 4000 };
const SERVICE_MILLISECONDS = { min: 200, max: 450 };
/** Share of the requests of a spell that get no response, in percent. */
const HANGING_PERCENT = 90;
/** Time after a spell from which its endpoint counts as sound again. */
const SOUND_AFTER_MILLISECONDS = 2000;
const WINDOW_MILLISECONDS = 2000;
const WINDOW_STEP_MILLISECONDS = 250;
/** Random numbers drawn for one run. */
const RANDOM_NUMBERS = 20_000;

interface Spell {
  readonly from: number;
  readonly until: number;
}

interface Sent {
  readonly at: number;
  /** Undefined if the request was refused. */
  readonly endpoint: string | undefined;
  readonly served: boolean;
}

interface Running {
  readonly endsAt: number;
  readonly startedAt: number;
  readonly grantId: number;
  readonly hangs: boolean;
}

/** What the platform checks in spans of two seconds. */
export interface HangingUploadsResult {
  readonly served: number;
  readonly requests: number;
  /** Spans in which less than 0.7 of the sound endpoints got requests, while over a tenth was not served. */
  readonly starvedSpans: number;
  readonly spans: number;
}

/** Runs uploads for some time. */
export class HangingUploads {
  private readonly service = new VirtualService(
    Array.from({ length: ENDPOINTS }, (_, index) => createEndpoint(`e${index}`, { slots: SLOTS })),
  );

  private readonly random: number[];

  private drawn = 0;

  private readonly spells = new Map<string, Spell[]>();

  private readonly sent: Sent[] = [];

  private running: Running[] = [];

  private readonly waiting = new Map<string, number>();

  constructor(
    seed: number,
    private readonly duration: number,
  ) {
    const fraction = fastCheck.noBias(fastCheck.nat({ max: 999_999 }));
    this.random = fastCheck
      .sample(fraction, { numRuns: RANDOM_NUMBERS, seed })
      .map((value) => value / 1_000_000);
    for (let index = 0; index < ENDPOINTS; index += 1) {
      this.spells.set(`e${index}`, this.drawSpells());
    }
  }

  run(): HangingUploadsResult {
    const startedAt = this.service.now;
    const { dispatcher } = this.service;
    let due = 0;
    while (this.service.now < startedAt + this.duration) {
      this.service.now += STEP_MILLISECONDS;
      this.finish();
      due += (REQUESTS_PER_SECOND * STEP_MILLISECONDS) / 1000;
      for (; due >= 1; due -= 1) {
        const key = this.service.ask({
          target: TARGET_MILLISECONDS,
          remaining: DEADLINE_MILLISECONDS,
          entry: `entry-${Math.floor(this.draw() * 20)}`,
        });
        this.waiting.set(key, this.service.now);
      }
      dispatcher.tick();
      this.collectDecisions();
    }
    return this.evaluate();
  }

  private draw(): number {
    this.drawn = (this.drawn + 1) % RANDOM_NUMBERS;
    return this.random[this.drawn] as number;
  }

  private drawBetween({ min, max }: { readonly min: number; readonly max: number }): number {
    return min + this.draw() * (max - min);
  }

  private drawSpells(): Spell[] {
    const spells: Spell[] = [];
    let from = this.draw() * HEALTHY_MILLISECONDS.max;
    while (from < this.duration) {
      const until = from + this.drawBetween(FAILING_MILLISECONDS);
      spells.push({ from: from + this.service.now, until: until + this.service.now });
      from = until + this.drawBetween(HEALTHY_MILLISECONDS);
    }
    return spells;
  }

  private collectDecisions(): void {
    for (const [key, at] of this.waiting) {
      const decision = this.service.decisions.get(key);
      if (decision !== undefined) {
        this.waiting.delete(key);
        this.start(decision, at);
      }
    }
  }

  private start(decision: grants.Decision, at: number): void {
    if (decision.kind === 'refuse') {
      this.sent.push({ at, endpoint: undefined, served: false });
      return;
    }
    const { now } = this.service;
    const { id } = decision.endpoint;
    const isFailing = this.spells.get(id)?.some(({ from, until }) => from <= now && now < until);
    const hangs = isFailing === true && this.draw() * 100 < HANGING_PERCENT;
    const elapsed = hangs ? DEADLINE_MILLISECONDS : this.drawBetween(SERVICE_MILLISECONDS);
    this.running.push({
      endsAt: now + elapsed,
      startedAt: now,
      grantId: decision.grantId,
      hangs,
    });
    this.sent.push({ at, endpoint: id, served: !hangs });
  }

  private finish(): void {
    const { now, dispatcher } = this.service;
    const ended = this.running.filter(({ endsAt }) => endsAt <= now);
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
    for (const { grantId, startedAt, hangs } of ended) {
      dispatcher.report(grantId, {
        outcome: hangs ? 'abandoned' : 'success',
        elapsed: now - startedAt,
        load: -1,
        silent: hangs,
        rested: 0,
        announcement: null,
      });
    }
  }

  private evaluate(): HangingUploadsResult {
    let starvedSpans = 0;
    let spans = 0;
    const end = this.service.now - DEADLINE_MILLISECONDS;
    const start = end - this.duration + 2 * DEADLINE_MILLISECONDS;
    for (let from = start; from < end; from += WINDOW_STEP_MILLISECONDS) {
      spans += 1;
      starvedSpans += this.isStarved(from, from + WINDOW_MILLISECONDS) ? 1 : 0;
    }
    const served = this.sent.filter((request) => request.served).length;
    return { served, requests: this.sent.length, starvedSpans, spans };
  }

  private isStarved(from: number, until: number): boolean {
    const sound = [...this.spells].filter(
      ([, spells]) =>
        !spells.some(
          (spell) => spell.from < until && from < spell.until + SOUND_AFTER_MILLISECONDS,
        ),
    );
    const inSpan = this.sent.filter(({ at }) => from <= at && at < until);
    const used = new Set(inSpan.map(({ endpoint }) => endpoint));
    const soundUsed = sound.filter(([id]) => used.has(id)).length;
    const lost = inSpan.filter(({ served }) => !served).length / Math.max(1, inSpan.length);
    return soundUsed > 0 && soundUsed < sound.length * 0.7 && lost > 0.1 && lost < 0.5;
  }
}
