import {execFileSync} from 'node:child_process';
import {
  copyFileSync,
  lstatSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  rmSync,
  statSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** Directory of the checkout that the tests run from. */
export const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

/** Directories that no build reads. */
const UNUSED_DIRECTORIES = ['journal/', 'review/', 'docs/'];

/** Copies the sources of the checkout, without packages and build results, into a new directory. */
export function copyCheckout(): string {
  const copy = mkdtempSync(join(tmpdir(), 'sardinestile-build-'));
  const names = execFileSync(
    'git',
    ['ls-files', '-z', '--cached', '--others', '--exclude-standard'],
    {cwd: ROOT, encoding: 'utf8', maxBuffer: 1 << 26},
  );
  for (const name of names.split('\0')) {
    if (name === '' || UNUSED_DIRECTORIES.some(d => name.startsWith(d))) {
      continue;
    }
    const source = join(ROOT, name);
    // A tracked file may be deleted; a link could lead a build out of the copy.
    if (!lstatSync(source, {throwIfNoEntry: false})?.isFile()) continue;
    mkdirSync(dirname(join(copy, name)), {recursive: true});
    copyFileSync(source, join(copy, name));
  }
  return copy;
}

/** Calls a function with a copy of the checkout, which is removed afterwards. */
export async function withCheckoutCopy(
  run: (copy: string) => Promise<void>,
): Promise<void> {
  const copy = copyCheckout();
  try {
    await run(copy);
  } finally {
    rmSync(copy, {recursive: true, force: true, maxRetries: 5});
  }
}

/** Returns the paths below a directory that other users cannot read or, if directories, enter. */
export function listUnreadable(directory: string): string[] {
  return readdirSync(directory, {recursive: true, withFileTypes: true})
    .filter(entry => entry.isFile() || entry.isDirectory())
    .map(entry => ({
      path: join(entry.parentPath, entry.name),
      required: entry.isDirectory() ? 0o005 : 0o004,
    }))
    .filter(({path, required}) => (statSync(path).mode & required) !== required)
    .map(({path}) => path);
}
