// Builds the program that deploy/system.toml runs. Needs only Node.js, npm and the checkout,
// and writes only below target/.
import {chmodSync, mkdirSync, statSync} from 'node:fs';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {installPackages} from './install.mjs';
import {readRequiredPackages} from './lock_file.mjs';
import {
  createUnfinishedDirectory,
  directoryOf,
  hasPackages,
  identifyPackages,
  markUsed,
  publishPackages,
  removePackages,
  removeUnusedPackages,
} from './packages.mjs';
import {runTool} from './run_tool.mjs';
import {writeLine} from './write_line.mjs';

const CHECKOUT = '.';
const MAX_BUNDLE_MS = 60_000;

/** Attempts to bundle with packages below target/, which other builds may remove. */
const MAX_BUNDLE_ATTEMPTS = 3;

/** The step that a build is at, for its last line. */
let step = 'start';

async function main() {
  process.chdir(dirname(dirname(fileURLToPath(import.meta.url))));
  createTarget();
  step = 'read_lock_file';
  const required = readRequiredPackages();
  const result =
    (await bundleFromCheckout(required)) ?? (await bundleFromTarget(required));
  step = 'remove_unused';
  removeUnusedPackages();
  return result;
}

/** Creates target/ so that any user can run what is built, whatever the umask. */
function createTarget() {
  process.umask(0o022);
  mkdirSync('target', {recursive: true});
  const {mode} = statSync('target');
  if ((mode & 0o055) !== 0o055) chmodSync('target', mode | 0o055);
}

/** Bundles with the packages of the checkout, if these are complete and stay so. */
async function bundleFromCheckout({lock}) {
  if (!hasPackages(CHECKOUT, lock)) return undefined;
  try {
    return {packages: 'checkout', ...(await bundle(CHECKOUT))};
  } catch {
    // Packages of its own show whether the sources are the reason.
    return undefined;
  }
}

async function bundleFromTarget(required) {
  const directory = directoryOf(required.lock);
  for (let attempt = 1; ; attempt++) {
    let installAttempts = 0;
    if (!hasPackages(directory, required.lock)) {
      installAttempts = await install(directory, required);
    }
    markUsed(directory);
    const identity = identifyPackages(directory);
    try {
      const result = await bundle(directory);
      const packages = installAttempts > 0 ? 'installed' : 'reused';
      return {packages, installAttempts, ...result};
    } catch (error) {
      const isUnchanged = identifyPackages(directory) === identity;
      const isSourceFault = installAttempts > 0 && isUnchanged;
      if (isSourceFault || attempt === MAX_BUNDLE_ATTEMPTS) throw error;
      if (isUnchanged) removePackages(directory);
    }
  }
}

async function install(directory, required) {
  step = 'install_packages';
  const unfinished = createUnfinishedDirectory();
  try {
    const attempts = await installPackages(unfinished, required);
    publishPackages(unfinished, directory, required.lock);
    return attempts;
  } catch (error) {
    removePackages(unfinished);
    throw error;
  }
}

async function bundle(packagesDirectory) {
  step = 'bundle';
  const output = await runTool(
    process.execPath,
    ['deploy/bundle.mjs', packagesDirectory],
    {cwd: CHECKOUT, maxDurationMs: MAX_BUNDLE_MS},
  );
  return JSON.parse(output);
}

const startedAtMs = performance.now();
let line;
try {
  line = {event: 'build_succeeded', ...(await main())};
} catch (error) {
  process.exitCode = 1;
  if (error.output) writeLine(2, error.output.trimEnd());
  line = {event: 'build_failed', step, reason: error.message};
}
line.durationMs = Math.round(performance.now() - startedAtMs);
writeLine(
  process.exitCode ? 2 : 1,
  Object.entries(line)
    .map(
      ([name, value]) =>
        `${name}=${/[\s"]/.test(value) ? JSON.stringify(value) : value}`,
    )
    .join(' '),
);
