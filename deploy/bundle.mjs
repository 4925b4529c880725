// Bundles the processes that run on the platform into target/.
import {createHash} from 'node:crypto';
import {
  mkdirSync,
  readdirSync,
  renameSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {build} from 'esbuild';

const DIRECTORY = 'target';
const SOURCES = 'cli/sardinestile/src';
const PREFIX = 'sardinestile';
const ENTRY_FILE = `${PREFIX}.cjs`;

/** Age from which files of earlier builds are removed; processes have loaded theirs by then. */
const MAX_UNUSED_AGE_MS = 600_000;

/** Bundles a module and returns its code. */
async function bundle(source, options) {
  const {outputFiles} = await build({
    entryPoints: [join(SOURCES, source)],
    write: false,
    bundle: true,
    platform: 'node',
    target: 'node20',
    conditions: ['sardinestile-source'],
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: 'none',
    ...options,
  });
  return outputFiles[0].text;
}

/** Writes a file in one step, so that a process that starts meanwhile never reads half of it. */
function replaceFile(name, text) {
  const unfinishedPath = join(DIRECTORY, `${name}.${process.pid}`);
  writeFileSync(unfinishedPath, text);
  renameSync(unfinishedPath, join(DIRECTORY, name));
}

const gateway = await bundle('gateway_main.ts', {
  format: 'esm',
  banner: {
    // Bundled CommonJS packages call require for Node.js's own modules.
    js: "import {createRequire as __createRequire} from 'node:module'; const require = __createRequire(import.meta.url);",
  },
});
const hash = createHash('sha256').update(gateway).digest('hex').slice(0, 16);
const gatewayFile = `${PREFIX}-${hash}.mjs`;

// The entry point is a file of its own, which handles signals while it loads the gateway;
// Node.js runs CommonJS earlier than modules.
const entry = await bundle('platform_main.ts', {
  format: 'cjs',
  plugins: [
    {
      name: 'gateway-file',
      setup: ({onResolve}) =>
        onResolve({filter: /\/gateway_main\.js$/}, () => ({
          path: `./${gatewayFile}`,
          external: true,
        })),
    },
  ],
});

mkdirSync(DIRECTORY, {recursive: true});
replaceFile(gatewayFile, gateway);
replaceFile(ENTRY_FILE, entry);

const files = [gatewayFile, ENTRY_FILE];
for (const name of readdirSync(DIRECTORY)) {
  if (!name.startsWith(PREFIX) || files.includes(name)) continue;
  const path = join(DIRECTORY, name);
  // Another build may have removed it.
  const modifiedAtMs = statSync(path, {throwIfNoEntry: false})?.mtimeMs;
  if (Date.now() - modifiedAtMs > MAX_UNUSED_AGE_MS) {
    rmSync(path, {force: true});
  }
}
