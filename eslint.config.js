import tseslint from 'typescript-eslint';
import {noOpenPropertyName} from './eslint_rules/no_open_property_name.js';

export default tseslint.config(
  {
    ignores: [
      'target/**',
      'journal/**',
      '**/lib/**',
      '**/gen/**',
      '**/node_modules/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: './tsconfig.eslint.json',
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', name: ['describe', 'it'], package: 'node:test'},
          ],
        },
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
      ],
      eqeqeq: 'error',
      'prefer-const': 'error',
      'no-var': 'error',
      curly: ['error', 'multi-line'],
    },
  },
  {
    files: ['*/*/src/**/*.ts'],
    plugins: {sardinestile: {rules: {noOpenPropertyName}}},
    rules: {
      'sardinestile/noOpenPropertyName': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector:
            "CallExpression[callee.object.name='z'][callee.property.name='record']",
          message: 'It drops the name `__proto__`; use nameMapOf.',
        },
      ],
    },
  },
);
