// Installs the packages that a bundle needs into a directory of their own.
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join, resolve} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {runTool} from './run_tool.mjs';

const MAX_INSTALL_MS = 180_000;

/** Settings that decide what npm installs and where, whatever its configuration says. */
const OPTIONS = [
  '--include=prod',
  '--include=optional',
  '--include=peer',
  '--ignore-scripts',
  '--package-lock',
  '--no-package-lock-only',
  '--no-dry-run',
  '--no-global',
  '--location=project',
  '--install-strategy=hoisted',
  '--no-engine-strict',
  '--no-offline',
  '--prefer-offline',
  `--os=${process.platform}`,
  `--cpu=${process.arch}`,
  '--fetch-retries=3',
  '--fetch-retry-mintimeout=500',
  '--fetch-retry-maxtimeout=5000',
  '--fetch-timeout=60000',
  '--no-audit',
  '--no-fund',
  '--no-update-notifier',
  '--no-bin-links',
  '--no-progress',
  '--logs-max=0',
  '--loglevel=error',
];

/** Attempts to install: the pause before each, and whether its cache is its own and empty. */
const ATTEMPTS = [
  {pauseMs: 0, hasOwnCache: false},
  {pauseMs: 500, hasOwnCache: true},
  {pauseMs: 1_000, hasOwnCache: false},
  {pauseMs: 3_000, hasOwnCache: true},
];

/**
 * Installs packages into an empty directory and returns the number of attempts. Throws the
 * error of the last attempt.
 */
export async function installPackages(directory, {root, workspaces, lock}) {
  for (const [index, {pauseMs, hasOwnCache}] of ATTEMPTS.entries()) {
    await sleep(pauseMs);
    rmSync(directory, {recursive: true, force: true, maxRetries: 3});
    writeProject(directory, {root, workspaces, lock});
    try {
      await runNpm(directory, hasOwnCache);
      return index + 1;
    } catch (error) {
      if (index === ATTEMPTS.length - 1) throw error;
    }
  }
}

async function runNpm(directory, hasOwnCache) {
  const cache = resolve(directory, '.cache');
  const temporary = resolve(directory, '.tmp');
  mkdirSync(temporary);
  const options = hasOwnCache ? [...OPTIONS, `--cache=${cache}`] : OPTIONS;
  await runTool('npm', ['ci', `--prefix=${resolve(directory)}`, ...options], {
    cwd: directory,
    maxDurationMs: MAX_INSTALL_MS,
    variables: {TMPDIR: temporary},
  });
  for (const path of [cache, temporary]) {
    rmSync(path, {recursive: true, force: true, maxRetries: 3});
  }
}

/** Writes a project that depends on exactly the packages of the lock file. */
function writeProject(directory, {root, workspaces, lock}) {
  mkdirSync(directory, {recursive: true});
  writeFileSync(join(directory, 'package.json'), JSON.stringify(root));
  writeFileSync(join(directory, 'package-lock.json'), JSON.stringify(lock));
  for (const {directory: workspace, manifest} of workspaces) {
    mkdirSync(join(directory, workspace), {recursive: true});
    const path = join(directory, workspace, 'package.json');
    writeFileSync(path, JSON.stringify(manifest));
  }
  if (existsSync('.npmrc')) {
    copyFileSync('.npmrc', join(directory, '.npmrc'));
  }
}
