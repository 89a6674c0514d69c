import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettierConfiguration from 'eslint-config-prettier';

const sources = ['packages/**/*.ts', 'platform/**/*.ts'];

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'results/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettierConfiguration,
  {
    files: sources,
    settings: { node: { version: '>=20.17.0' }, n: { version: '>=20.17.0' } },
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // The house style asks for `for of` loops with early exits, which Airbnb forbids.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // Tasks are written straight down, one awaited step after the other.
      'no-await-in-loop': 'off',
      // Private members document themselves through `private` and `readonly`.
      'no-underscore-dangle': 'error',
      'import-x/prefer-default-export': 'off',
      'import-x/no-namespace': 'off',
      // The compiler resolves imports; the plug-in would resolve each of them a second time.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unpublished-import': 'off',
    },
  },
  {
    // Programs end although connections are open: those that callers keep, and those that a soak has harmed.
    files: ['platform/src/program.ts', 'platform/test/soak/main.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
];
