import assert from 'node:assert/strict';
import {existsSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe} from 'node:test';
import {itOrKnownRed} from '@sardinestile/known_red';
import {
  INVALID_SETTINGS_EXIT_CODE,
  listUnreadable,
  runBuild,
  startProgram,
  withCheckoutCopy,
  type BuildOptions,
} from '../src/index.js';

const NOWHERE = '/proc/nonexistent';

/** Variables of which each must change nothing. */
const VARIABLES: Readonly<Record<string, BuildOptions>> = {
  'NODE_ENV=production': {variables: {NODE_ENV: 'production'}},
  'npm_config_omit=dev,optional': {
    variables: {npm_config_omit: 'dev\n\noptional'},
  },
  npm_config_production: {variables: {npm_config_production: 'true'}},
  npm_config_global: {variables: {npm_config_global: 'true'}},
  npm_config_prefix: {variables: {npm_config_prefix: NOWHERE}},
  npm_config_ignore_scripts: {variables: {npm_config_ignore_scripts: 'true'}},
  npm_config_engine_strict: {variables: {npm_config_engine_strict: 'true'}},
  npm_config_dry_run: {variables: {npm_config_dry_run: 'true'}},
  'npm_config_package_lock=false': {
    variables: {npm_config_package_lock: 'false'},
  },
  npm_config_package_lock_only: {
    variables: {npm_config_package_lock_only: 'true'},
  },
  npm_config_workspace: {variables: {npm_config_workspace: 'core/errors'}},
  npm_config_workspaces: {variables: {npm_config_workspaces: 'true'}},
  'packages of another processor asked for': {
    variables: {
      npm_config_cpu: process.arch === 'arm64' ? 'x64' : 'arm64',
      npm_config_os: 'darwin',
    },
  },
  'options of Node.js that cannot be loaded': {
    variables: {NODE_OPTIONS: `--import=${NOWHERE}.mjs`},
  },
  'another bundler in the environment': {
    variables: {ESBUILD_BINARY_PATH: NOWHERE},
  },
  'another working directory of the caller': {
    variables: {INIT_CWD: NOWHERE, npm_config_local_prefix: NOWHERE},
  },
  'CI=true': {variables: {CI: 'true'}},
  'no HOME': {variables: {HOME: undefined}},
  'a TMPDIR that cannot be written': {variables: {TMPDIR: NOWHERE}},
};

/** Environments in which a build of every run is played. */
const ENVIRONMENTS: Readonly<Record<string, BuildOptions>> = {
  'settings of npm that install less': combine(
    'NODE_ENV=production',
    'npm_config_omit=dev,optional',
    'npm_config_production',
    'npm_config_ignore_scripts',
    'npm_config_engine_strict',
    'npm_config_package_lock_only',
    'npm_config_dry_run',
  ),
  'settings of npm that install elsewhere': combine(
    'npm_config_global',
    'npm_config_prefix',
    'npm_config_package_lock=false',
    'npm_config_workspace',
    'npm_config_workspaces',
    'packages of another processor asked for',
    'another working directory of the caller',
  ),
  'other variables of the caller': combine(
    'options of Node.js that cannot be loaded',
    'another bundler in the environment',
    'a TMPDIR that cannot be written',
    'no HOME',
    'CI=true',
  ),
  'a HOME and a cache that cannot be written': {
    variables: {HOME: '/dev/null', npm_config_cache: '/dev/null/cache'},
  },
  'an installation that fails once': {
    shell: `
      npm=$(command -v npm); mkdir test-bin
      cat > test-bin/npm <<EOF
#!/bin/sh
[ -e "$PWD/test-bin/failed" ] || { touch "$PWD/test-bin/failed"; exit 1; }
exec "$npm" "\\$@"
EOF
      chmod +x test-bin/npm; PATH="$PWD/test-bin:$PATH"; eval "$BUILD"`,
  },
  'all standard streams closed': {shell: 'eval "$BUILD" <&- >&- 2>&-'},
  'standard output without a reader': {
    // The pipe is full before the build starts, and nobody reads it.
    shell:
      'mkfifo target-pipe && exec 3<>target-pipe && ' +
      'dd if=/dev/zero of=/proc/self/fd/3 bs=64k count=1 2>/dev/null && ' +
      'eval "$BUILD" >target-pipe 2>&1',
  },
};

/** With BUILD_VARIABLES=each, every variable is also played by itself. */
const PLAYED =
  process.env.BUILD_VARIABLES === 'each'
    ? {...VARIABLES, ...ENVIRONMENTS}
    : ENVIRONMENTS;

describe('build', () => {
  describe('in a clean checkout succeeds', {concurrency: 2}, () => {
    for (const [name, options] of Object.entries(PLAYED)) {
      itOrKnownRed(`builds with ${name}`, () =>
        withCheckoutCopy(copy => assertBuilds(copy, options)),
      );
    }

    itOrKnownRed('builds with npm settings of the user that install less', () =>
      withCheckoutCopy(async copy => {
        const settingsPath = join(copy, 'target-npmrc');
        const lines = ['omit[]=dev', 'omit[]=optional', 'global=true'];
        lines.push('package-lock=false', 'dry-run=true', 'engine-strict=true');
        writeFileSync(settingsPath, lines.join('\n'));
        await assertBuilds(copy, {
          variables: {npm_config_userconfig: settingsPath},
        });
      }),
    );

    itOrKnownRed('places what it builds below target, readable to all', () =>
      withCheckoutCopy(async copy => {
        await assertBuilds(copy, {shell: 'umask 077; eval "$BUILD"'});
        assert.deepEqual(listUnreadable(join(copy, 'target')), []);
        assert.ok(!existsSync(join(copy, 'node_modules')));
      }),
    );
  });
});

/** Returns an environment with the variables of several. */
function combine(...names: string[]): BuildOptions {
  const variables = names.map(name => VARIABLES[name]?.variables);
  assert.ok(variables.every(each => each !== undefined));
  return {
    variables: Object.assign({}, ...variables) as BuildOptions['variables'],
  };
}

async function assertBuilds(
  copy: string,
  options: BuildOptions,
): Promise<void> {
  const {exitCode, output} = await runBuild(copy, options);
  assert.equal(exitCode, 0, output);
  const program = startProgram(copy);
  assert.equal(program.exitCode, INVALID_SETTINGS_EXIT_CODE, program.output);
}
