// Bundles the processes that run on the platform into target/.
import {build} from 'esbuild';

await build({
  entryPoints: {sardinestile: 'cli/sardinestile/src/platform_main.ts'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
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
