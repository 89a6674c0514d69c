/**
 * Classes of requests and their weighted random selection.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import * as results from '@dogwoodstall/results';

/** One kind of request of a load. */
export interface RequestClass {
  readonly name: string;
  /** Relative frequency of the class. */
  readonly weight: number;
  readonly method: string;
  /** Path, optionally with a query; `token=` is appended to the query of each request. */
  readonly path: string;
  /** Host header; defaults to the address of the target. */
  readonly host?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly organisationToken?: string;
  /** Size of the request body; no body is sent when it is 0 or undefined. */
  readonly bodyBytes?: number;
  /** Time over which sending the body is spread; 0 sends it as fast as the connection accepts it. */
  readonly bodyMilliseconds?: number;
  /** Size of the streamed response that the path requests; undefined expects a JSON summary. */
  readonly responseBytes?: number;
  readonly idempotent: boolean;
  /** A response that is complete only after this time counts as late. */
  readonly deadlineMilliseconds: number;
  /** Timeout of the caller; defaults to three times the deadline. */
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

  /** Returns the next number of the seeded sequence, from 0 (inclusive) to 1 (exclusive). */
  drawNumber(): number {
    return uniformFloat64(this.random);
  }

  drawClass(): RequestClass {
    let remainingWeight = this.drawNumber() * this.totalWeight;
    for (const requestClass of this.classes) {
      remainingWeight -= requestClass.weight;
      if (remainingWeight < 0) {
        return requestClass;
      }
    }
    return this.classes.at(-1) as RequestClass;
  }
}
