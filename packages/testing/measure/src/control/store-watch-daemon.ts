/**
 * The baseline daemon: the product's program, patched so that every member watches the store and none
 * pushes or exchanges revisions with peers. Takes the same arguments as the product's program.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type * as model from '@dogwoodstall/model';

const RETRY_MILLISECONDS = 1000;
const packages = new URL('../../../../../', import.meta.url);

/** The private members of `ConfigurationSynchroniser` that the replaced `watch` method uses. */
interface WatchingSynchroniser {
  readonly stopping: AbortController;
  follow(signal: AbortSignal): Promise<void>;
  current: model.Configuration | undefined;
}

async function watchAlways(this: WatchingSynchroniser): Promise<void> {
  const { signal } = this.stopping;
  while (!signal.aborted) {
    await this.follow(signal).catch(() => {});
    await delay(RETRY_MILLISECONDS * (1 + Math.random()), undefined, { signal }).catch(() => {});
  }
}

async function replaceMethods(file: string, name: string, methods: object): Promise<void> {
  const loaded = (await import(new URL(file, packages).href)) as Record<
    string,
    { prototype: object }
  >;
  Object.assign(loaded[name]?.prototype ?? {}, methods);
}

const spread = 'control/configuration-spread/dist/src/';
await replaceMethods(`${spread}synchroniser.js`, 'ConfigurationSynchroniser', {
  watch: watchAlways,
});
await replaceMethods(`${spread}revision-distributor.js`, 'RevisionDistributor', {
  run: async () => {},
  push: () => {},
  recordRevision: () => {},
});
await import(new URL('daemon/command-line/dist/src/bin.js', packages).href);
