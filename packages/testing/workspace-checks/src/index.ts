/**
 * Checks the architecture of the workspace: packages import only packages that precede them in the
 * package table of `docs/design.md`, and only the platform adapter uses platform-specific names.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

const SCOPE = '@dogwoodstall/';
const ADAPTER_FOLDER = 'platform';

/** A workspace package with its declared and its imported workspace dependencies. */
export interface WorkspacePackage {
  readonly name: string;
  readonly folder: string;
  readonly declared: ReadonlySet<string>;
  readonly imported: ReadonlySet<string>;
}

/** Returns the package names of the table in the design page, in the order of the table. */
export function readPackageOrder(designText: string): string[] {
  const names: string[] = [];
  for (const match of designText.matchAll(/^\| [a-z]+ \| `([a-z-]+)` \|/gm)) {
    names.push(match[1] ?? '');
  }
  return names;
}

async function findImports(folder: string): Promise<Set<string>> {
  const imported = new Set<string>();
  for (const entry of await fs.readdir(folder, { recursive: true })) {
    if (!entry.endsWith('.ts')) {
      continue;
    }
    const text = await fs.readFile(path.join(folder, entry), 'utf8');
    for (const match of text.matchAll(/from '@dogwoodstall\/([a-z-]+)'/g)) {
      imported.add(match[1] ?? '');
    }
  }
  return imported;
}

async function readPackage(folder: string): Promise<WorkspacePackage> {
  const text = await fs.readFile(path.join(folder, 'package.json'), 'utf8');
  const manifest = JSON.parse(text) as { name: string; dependencies?: Record<string, string> };
  const declared = new Set<string>();
  for (const dependency of Object.keys(manifest.dependencies ?? {})) {
    if (dependency.startsWith(SCOPE)) {
      declared.add(dependency.slice(SCOPE.length));
    }
  }
  return {
    name: manifest.name.slice(SCOPE.length),
    folder,
    declared,
    imported: await findImports(path.join(folder, 'src')),
  };
}

/** Reads every package in the folder `packages` of the workspace, and the platform adapter. */
export async function readPackages(root: string): Promise<WorkspacePackage[]> {
  const packages: WorkspacePackage[] = [];
  for (const domain of await fs.readdir(path.join(root, 'packages'))) {
    for (const name of await fs.readdir(path.join(root, 'packages', domain))) {
      packages.push(await readPackage(path.join(root, 'packages', domain, name)));
    }
  }
  packages.push(await readPackage(path.join(root, ADAPTER_FOLDER)));
  return packages;
}

/** Names of the users' platform that only the platform adapter may contain. */
const PLATFORM_NAMES =
  /Server-Seal|Not-Executed|Expect-Instance|Server-Load|Deadline-Ms|traffic_split|resource_kind|target_latency_ms|warmup_left_ms|kv-(key|range|watch|txn|lease|keep)|op\/config/i;

/** Returns one message for each source file outside the adapter that contains a platform-specific name. */
export async function findPlatformNameViolations(root: string): Promise<string[]> {
  const violations: string[] = [];
  const folder = path.join(root, 'packages');
  for (const entry of await fs.readdir(folder, { recursive: true })) {
    const isSource = entry.endsWith('.ts') && /[\\/]src[\\/]/.test(entry);
    if (!isSource || entry.includes('node_modules') || entry.includes('workspace-checks')) {
      continue;
    }
    const match = PLATFORM_NAMES.exec(await fs.readFile(path.join(folder, entry), 'utf8'));
    if (match !== null) {
      violations.push(`packages/${entry} contains the platform-specific name ${match[0]}`);
    }
  }
  return violations;
}

/** Returns one message for each dependency that violates the package order or is not declared. */
export function findDependencyViolations(
  packageOrder: readonly string[],
  packages: readonly WorkspacePackage[],
): string[] {
  const violations: string[] = [];
  for (const { name, imported, declared } of packages) {
    const position = packageOrder.indexOf(name);
    if (position < 0) {
      violations.push(`${name} is missing from the package table of docs/design.md`);
      continue;
    }
    for (const dependency of new Set([...imported, ...declared])) {
      if (packageOrder.indexOf(dependency) >= position) {
        violations.push(
          `${name} must not depend on ${dependency}, which does not precede it in the package table of docs/design.md`,
        );
      }
      if (imported.has(dependency) && !declared.has(dependency)) {
        violations.push(`${name} imports ${dependency} without declaring it in package.json`);
      }
    }
  }
  return violations;
}
