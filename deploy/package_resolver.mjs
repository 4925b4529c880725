import {readFileSync} from 'node:fs';
import {builtinModules} from 'node:module';
import {join, relative, sep} from 'node:path';
import {readWorkspaceDirectories} from './lock_file.mjs';

const SOURCE_CONDITION = 'sardinestile-source';

/**
 * Returns a plugin of the bundler that takes the sources of workspaces from the checkout and
 * other packages from a directory of their own, which has the checkout's layout.
 */
export function createPackageResolver(checkout, packagesDirectory) {
  const workspaces = readWorkspaceDirectories();
  const directories = new Set(workspaces.values());

  /** Returns the workspace with a source of the checkout, or undefined if it is none. */
  const findWorkspace = directory => {
    const workspace = relative(checkout, directory)
      .split(sep)
      .slice(0, 2)
      .join('/');
    return directories.has(workspace) ? workspace : undefined;
  };

  return {
    name: 'packages',
    setup({onResolve, resolve}) {
      onResolve({filter: /^[^./]/}, ({path, kind, resolveDir, pluginData}) => {
        const importer = findWorkspace(resolveDir);
        const isResolved = pluginData === packagesDirectory;
        if (isResolved || importer === undefined || isBuiltin(path)) {
          return undefined;
        }
        if (workspaces.has(path)) {
          return {path: sourceOf(checkout, workspaces.get(path))};
        }
        return resolve(path, {
          kind,
          resolveDir: join(packagesDirectory, importer),
          pluginData: packagesDirectory,
        });
      });
    },
  };
}

function isBuiltin(path) {
  return path.startsWith('node:') || builtinModules.includes(path);
}

/** Returns the module that a workspace exports. */
function sourceOf(checkout, workspace) {
  const directory = join(checkout, workspace);
  const text = readFileSync(join(directory, 'package.json'), 'utf8');
  return join(directory, JSON.parse(text).exports['.'][SOURCE_CONDITION]);
}
