// Directories with the packages of a bundle: the checkout, or one below target/.
import {createHash, randomUUID} from 'node:crypto';
import {
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  utimesSync,
} from 'node:fs';
import {join} from 'node:path';

const DIRECTORY = join('target', '.packages');

/** Written by npm once all packages are installed, and removed before it removes packages. */
const INSTALLED_LIST = join('node_modules', '.package-lock.json');

/** Longer than a build may take, so that nobody uses what is older. */
const MAX_UNUSED_AGE_MS = 3_600_000;

/** Returns whether a directory has all packages of a lock file for this platform. */
export function hasPackages(directory, lock) {
  let installed;
  try {
    const text = readFileSync(join(directory, INSTALLED_LIST), 'utf8');
    installed = JSON.parse(text).packages;
  } catch {
    return false;
  }
  return Object.entries(lock.packages)
    .filter(([location]) => location.includes('node_modules/'))
    .filter(
      ([, {link, os, cpu}]) =>
        !link && fits(os, process.platform) && fits(cpu, process.arch),
    )
    .every(([location, {version, integrity}]) => {
      const found = installed[location];
      return found?.version === version && found.integrity === integrity;
    });
}

/** Returns a value that differs once the packages of a directory were installed again. */
export function identifyPackages(directory) {
  const stats = statSync(join(directory, INSTALLED_LIST), {
    throwIfNoEntry: false,
  });
  return stats && `${stats.dev}:${stats.ino}:${stats.mtimeMs}:${stats.size}`;
}

/** Returns the directory for the packages of a lock file on this platform. */
export function directoryOf(lock) {
  const key = createHash('sha256')
    .update(JSON.stringify([lock, process.platform, process.arch]))
    .digest('hex')
    .slice(0, 16);
  return join(DIRECTORY, key);
}

/** Creates an empty directory beside those of installed packages. */
export function createUnfinishedDirectory() {
  const directory = join(DIRECTORY, `unfinished-${randomUUID()}`);
  mkdirSync(directory, {recursive: true});
  return directory;
}

/**
 * Gives installed packages their final name. If another build was faster, its packages are
 * kept instead.
 */
export function publishPackages(unfinished, directory, lock) {
  if (hasPackages(directory, lock)) return removeDirectory(unfinished);
  removePackages(directory);
  try {
    renameSync(unfinished, directory);
  } catch (error) {
    if (!['ENOTEMPTY', 'EEXIST'].includes(error.code)) throw error;
    removeDirectory(unfinished);
  }
}

/** Removes packages in such a way that no build finds a part of them. */
export function removePackages(directory) {
  const removed = join(DIRECTORY, `removed-${randomUUID()}`);
  try {
    renameSync(directory, removed);
  } catch {
    return; // Another build has removed them.
  }
  removeDirectory(removed);
}

/** Marks packages as used, so that other builds keep them. */
export function markUsed(directory) {
  const now = new Date();
  try {
    utimesSync(directory, now, now);
  } catch {
    // They may belong to another user.
  }
}

/** Removes packages that were not used for long, and what builds that were killed left. */
export function removeUnusedPackages() {
  for (const name of readDirectory(DIRECTORY)) {
    const path = join(DIRECTORY, name);
    const usedAtMs = statSync(path, {throwIfNoEntry: false})?.mtimeMs;
    if (Date.now() - usedAtMs > MAX_UNUSED_AGE_MS) removePackages(path);
  }
}

function removeDirectory(path) {
  try {
    rmSync(path, {recursive: true, force: true, maxRetries: 3});
  } catch {
    // Left for a later build.
  }
}

function readDirectory(path) {
  try {
    return readdirSync(path);
  } catch {
    return [];
  }
}

/** Returns whether a list such as ["linux", "!win32"] of a package allows a value. */
function fits(list, value) {
  if (list === undefined) return true;
  if (list.includes(`!${value}`)) return false;
  return list.every(each => each.startsWith('!')) || list.includes(value);
}
