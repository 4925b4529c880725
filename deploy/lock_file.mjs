// Selects the packages of package-lock.json that the bundle needs.
import {readFileSync} from 'node:fs';

const LOCK_FILE = 'package-lock.json';
const PACKAGES_PREFIX = 'node_modules/';
const BUNDLER = 'esbuild';

/** Workspace with the entry point of the bundle. */
const BUNDLED_WORKSPACE = 'sardinestile';

/** Marks of packages, and lists in them, that an installation for production leaves out. */
const DEVELOPMENT_KEYS = ['dev', 'devOptional', 'devDependencies'];

/** Kinds of dependencies, and whether one that the lock file lacks is left out. */
const DEPENDENCY_KINDS = [
  ['dependencies', {isOptional: false}],
  ['optionalDependencies', {isOptional: true}],
  ['peerDependencies', {isOptional: true}],
];

function readLockFile() {
  return JSON.parse(readFileSync(LOCK_FILE, 'utf8'));
}

/**
 * Returns a project with the bundler, the bundled workspace and what they depend on: the
 * manifests of its root and its workspaces, and its lock file. Throws if package-lock.json
 * lacks one of them.
 */
export function readRequiredPackages() {
  const lock = readLockFile();
  const {packages} = lock;
  const required = new Map();
  const pending = [
    {dependent: '', name: BUNDLER},
    {dependent: '', name: BUNDLED_WORKSPACE},
  ];
  for (const {dependent, name, isOptional} of pending) {
    const location = findPackage(packages, dependent, name);
    if (location === undefined && !isOptional) {
      throw new Error(
        `${LOCK_FILE} has no ${name} for ${dependent || 'the root'}`,
      );
    }
    if (location === undefined || required.has(location)) continue;
    const {link, resolved} = packages[location];
    const source = link ? resolved : location;
    const entry = {...packages[source]};
    for (const key of DEVELOPMENT_KEYS) delete entry[key];
    required.set(location, link ? packages[location] : entry);
    required.set(source, entry);
    for (const [kind, {isOptional}] of DEPENDENCY_KINDS) {
      for (const name of Object.keys(entry[kind] ?? {})) {
        pending.push({dependent: source, name, isOptional});
      }
    }
  }
  const workspaces = [...required]
    .filter(([, {link}]) => link)
    .map(([location, {resolved}]) => ({
      directory: resolved,
      manifest: {
        ...required.get(resolved),
        name: location.slice(PACKAGES_PREFIX.length),
      },
    }));
  const root = {
    name: 'sardinestile-build',
    workspaces: workspaces.map(({directory}) => directory).sort(),
    dependencies: {[BUNDLER]: packages[''].devDependencies[BUNDLER]},
  };
  return {
    root,
    workspaces,
    lock: {
      name: root.name,
      lockfileVersion: lock.lockfileVersion,
      requires: true,
      packages: {'': root, ...Object.fromEntries([...required].sort())},
    },
  };
}

/** Returns the directory of each workspace by the name of its package. */
export function readWorkspaceDirectories() {
  const links = Object.entries(readLockFile().packages).filter(
    ([, entry]) => entry.link,
  );
  return new Map(
    links.map(([location, {resolved}]) => [
      location.slice(PACKAGES_PREFIX.length),
      resolved,
    ]),
  );
}

/** Finds the package that a dependent loads by name, as Node.js does. */
function findPackage(packages, dependent, name) {
  for (let directory = dependent; ; directory = parentOf(directory)) {
    const location = `${directory}${directory && '/'}node_modules/${name}`;
    if (packages[location] !== undefined) return location;
    if (directory === '') return undefined;
  }
}

function parentOf(directory) {
  return directory.slice(0, Math.max(directory.lastIndexOf('/'), 0));
}
