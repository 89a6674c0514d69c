/**
 * Classes of requests and the seeded choice between them.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import * as results from '@dogwoodstall/results';

/** One kind of request of a load. */
export interface RequestClass {
  readonly name: string;
  /** Relative frequency. */
  readonly weight: number;
  readonly method: string;
  /** Path with query; `token=` is appended for each request. */
  readonly path: string;
  /** Host header; the target's address without it. */
  readonly host?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly organisationToken?: string;
  /** Size of the request body; 0 or undefined sends none. */
  readonly bodyBytes?: number;
  /** Time over which the body is spread; 0 sends it as fast as the connection takes it. */
  readonly bodyMilliseconds?: number;
  /** Size of the streamed answer that the path asks for; undefined expects a JSON summary. */
  readonly answerBytes?: number;
  readonly idempotent: boolean;
  /** An answer that is complete after this time counts as late. */
  readonly deadlineMilliseconds: number;
  /** Time after which the caller gives up; three deadlines without it. */
  readonly giveUpMilliseconds?: number;
}

/** Draws the class of each request by weight. */
export class ClassPicker {
  private readonly classes: readonly RequestClass[];

  private readonly totalWeight: number;

  private readonly random;

  constructor(classes: readonly RequestClass[], seed: number) {
    this.classes = classes;
    this.totalWeight = classes.reduce((sum, requestClass) => sum + requestClass.weight, 0);
    if (!(this.totalWeight > 0)) {
      throw new results.FailureError(
        'SettingsInvalid',
        'a load needs a class with a weight above 0',
      );
    }
    this.random = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 up to 1 of the same seeded sequence. */
  draw(): number {
    return uniformFloat64(this.random);
  }

  next(): RequestClass {
    let rest = this.draw() * this.totalWeight;
    for (const requestClass of this.classes) {
      rest -= requestClass.weight;
      if (rest < 0) {
        return requestClass;
      }
    }
    return this.classes.at(-1) as RequestClass;
  }
}
