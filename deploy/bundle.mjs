// Bundles the processes that run on the platform into target/.
import {renameSync} from 'node:fs';
import {build} from 'esbuild';

const BUNDLE_PATH = 'target/sardinestile.mjs';

// Renamed when it is complete, so that a process that starts meanwhile never reads half a file.
const unfinishedPath = `${BUNDLE_PATH}.${process.pid}`;

await build({
  entryPoints: ['cli/sardinestile/src/platform_main.ts'],
  outfile: unfinishedPath,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['sardinestile-source'],
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  banner: {
    // Bundled CommonJS packages call require for Node.js's own modules.
    js: "import {createRequire as __createRequire} from 'node:module'; const require = __createRequire(import.meta.url);",
  },
});
renameSync(unfinishedPath, BUNDLE_PATH);
