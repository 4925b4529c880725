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
/** Name of the entry point before it was CommonJS. */
const MODULE_ENTRY_FILE = `${PREFIX}.mjs`;

/** Age from which files of earlier builds are removed; processes have loaded theirs by then. */
const MAX_UNUSED_AGE_MS = 600_000;

/**
 * Lets the assertions of packages fail with a plain message. Node.js would compose one from
 * the source, and takes seconds for the long lines of a bundle.
 */
const plainAssertions = {
  name: 'plain-assertions',
  setup({onResolve, onLoad}) {
    onResolve({filter: /^(node:)?assert$/}, ({namespace}) =>
      namespace === 'plain-assertions'
        ? undefined
        : {path: 'assert', namespace: 'plain-assertions'},
    );
    onLoad({filter: /.*/, namespace: 'plain-assertions'}, () => ({
      contents: `
        const assert = require('node:assert');
        const ok = (value, message = 'an assertion failed') =>
          assert.ok(value, message);
        module.exports = Object.assign(
          (value, message) => ok(value, message), assert, {ok});`,
      resolveDir: '.',
    }));
  },
};

/** Bundles a module and returns its code. */
async function bundle(source, {plugins = [], ...options}) {
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
    plugins: [plainAssertions, ...plugins],
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
replaceFile(MODULE_ENTRY_FILE, `import './${ENTRY_FILE}';\n`);

const files = [gatewayFile, ENTRY_FILE, MODULE_ENTRY_FILE];
for (const name of readdirSync(DIRECTORY)) {
  if (!name.startsWith(PREFIX) || files.includes(name)) continue;
  const path = join(DIRECTORY, name);
  // Another build may have removed it.
  const modifiedAtMs = statSync(path, {throwIfNoEntry: false})?.mtimeMs;
  if (Date.now() - modifiedAtMs > MAX_UNUSED_AGE_MS) {
    rmSync(path, {force: true});
  }
}
