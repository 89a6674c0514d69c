/**
 * Bundles the daemon that the platform starts into target/: a first module, which handles signals and imports nothing
 * before, and the rest of the program as one file, which loads faster than separate modules. The first argument, if any, is
 * the folder to write to instead.
 */
import { readFileSync, readdirSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { build } from 'esbuild';

const root = resolve(import.meta.dirname, '..');
const target = resolve(process.argv[2] ?? join(root, 'target'));
const alias = { undici: join(root, 'scripts', 'undici-subset.cjs') };
for (const file of readdirSync(join(root, 'packages'), { recursive: true })) {
  if (file.split(/[\\/]/).length === 3 && file.endsWith('package.json')) {
    const { name } = JSON.parse(readFileSync(join(root, 'packages', file), 'utf8'));
    alias[name] = join(root, 'packages', dirname(file), 'src', 'index.ts');
  }
}

const common = {
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: 'linked',
  legalComments: 'none',
  logLevel: 'warning',
};

await build({
  ...common,
  entryPoints: [join(root, 'platform', 'src', 'main.ts')],
  outfile: join(target, 'dogwoodstall.mjs'),
});

/** Passes imports of `node:assert` in packages to the replacement. */
const plainAssert = {
  name: 'plain-assert',
  setup: ({ onResolve }) => {
    const path = join(root, 'scripts', 'plain-assert.cjs');
    onResolve({ filter: /^(?:node:)?assert$/ }, ({ importer }) =>
      importer === path ? undefined : { path },
    );
  },
};

await build({
  ...common,
  entryPoints: [join(root, 'platform', 'src', 'program.ts')],
  outfile: join(target, 'program.js'),
  alias,
  plugins: [plainAssert],
  bundle: true,
  // Bundled CommonJS packages load Node.js built-in modules with `require`, which ES modules don't define.
  banner: {
    js: "import { createRequire as createNodeRequire } from 'node:module'; const require = createNodeRequire(import.meta.url);",
  },
});
