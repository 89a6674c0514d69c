/**
 * Random choices from a seed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws from one seeded generator. */
export class RandomChoice {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 up to and without `end`. */
  integer(end: number): number {
    return uniformInt(this.generator, 0, end - 1);
  }

  /** Returns at most `count` different items in random order. */
  sample<Item>(items: readonly Item[], count: number): Item[] {
    const pool = [...items];
    const chosen: Item[] = [];
    while (pool.length > 0 && chosen.length < count) {
      chosen.push(...pool.splice(this.integer(pool.length), 1));
    }
    return chosen;
  }
}
