/**
 * Reproducible random choices.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random choices from one seeded generator. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 up to but not including `end`. */
  integer(end: number): number {
    return uniformInt(this.generator, 0, end - 1);
  }

  /** Returns at most `count` distinct items in random order. */
  sample<Item>(items: readonly Item[], count: number): Item[] {
    const pool = [...items];
    const chosen: Item[] = [];
    while (pool.length > 0 && chosen.length < count) {
      chosen.push(...pool.splice(this.integer(pool.length), 1));
    }
    return chosen;
  }
}
