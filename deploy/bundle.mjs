// Bundles the processes that run on the platform into target/. The packages come from the
// directory that is given, or else from the checkout.
import {createHash, randomUUID} from 'node:crypto';
import {
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createPackageResolver} from './package_resolver.mjs';
import {identifyPackages} from './packages.mjs';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const DIRECTORY = 'target';
const SOURCES = 'cli/sardinestile/src';
const PREFIX = 'sardinestile';
const ENTRY_FILE = `${PREFIX}.cjs`;
/** Name of the entry point before it was CommonJS. */
const MODULE_ENTRY_FILE = `${PREFIX}.mjs`;

/** Name of a bundled gateway, as the entry point loads it. */
const GATEWAY_FILE_PATTERN = /sardinestile-[0-9a-f]+\.mjs/g;

/** Time after which files that were replaced are removed; processes have loaded theirs by then. */
const MAX_UNUSED_AGE_MS = 600_000;

process.chdir(ROOT);
const packagesDirectory = resolve(process.argv[2] ?? ROOT);
const packagesIdentity = identifyPackages(packagesDirectory);
const {build} = createRequire(join(packagesDirectory, 'package.json'))(
  'esbuild',
);
const packageResolver = createPackageResolver(ROOT, packagesDirectory);

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
    // Names of modules in the bundle are the same wherever the packages are.
    absWorkingDir: packagesDirectory,
    entryPoints: [resolve(SOURCES, source)],
    write: false,
    bundle: true,
    platform: 'node',
    target: 'node20',
    conditions: ['sardinestile-source'],
    minifySyntax: true,
    minifyWhitespace: true,
    legalComments: 'none',
    plugins: [plainAssertions, ...plugins, packageResolver],
    ...options,
  });
  return outputFiles[0].text;
}

/** Writes a file in one step, so that a process that starts meanwhile never reads half of it. */
function replaceFile(name, text) {
  const unfinishedPath = join(DIRECTORY, `${name}.${randomUUID()}`);
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

if (identifyPackages(packagesDirectory) !== packagesIdentity) {
  throw new Error('the packages changed while they were bundled');
}

mkdirSync(DIRECTORY, {recursive: true});
keepGatewayInUse();
replaceFile(gatewayFile, gateway);
replaceFile(ENTRY_FILE, entry);
replaceFile(MODULE_ENTRY_FILE, `import './${ENTRY_FILE}';\n`);
removeReplacedFiles([gatewayFile, ENTRY_FILE, MODULE_ENTRY_FILE]);
console.log(
  JSON.stringify({
    bundle: join(DIRECTORY, gatewayFile),
    bundleBytes: Buffer.byteLength(gateway),
  }),
);

/** Lets the time of the gateway that is replaced count from now. */
function keepGatewayInUse() {
  const now = new Date();
  let names = [];
  try {
    const text = readFileSync(join(DIRECTORY, ENTRY_FILE), 'utf8');
    names = text.match(GATEWAY_FILE_PATTERN) ?? [];
  } catch (error) {
    if (error.code !== 'ENOENT') throw error;
  }
  for (const name of names) {
    try {
      utimesSync(join(DIRECTORY, name), now, now);
    } catch (error) {
      if (error.code !== 'ENOENT') throw error;
    }
  }
}

/** Removes what earlier builds left, once no process can still load it. */
function removeReplacedFiles(files) {
  for (const name of readdirSync(DIRECTORY)) {
    if (!name.startsWith(PREFIX) || files.includes(name)) continue;
    const path = join(DIRECTORY, name);
    // Another build may have removed it.
    const replacedAtMs = statSync(path, {throwIfNoEntry: false})?.mtimeMs;
    if (Date.now() - replacedAtMs > MAX_UNUSED_AGE_MS) {
      rmSync(path, {force: true});
    }
  }
}
