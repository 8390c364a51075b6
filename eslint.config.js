import neostandard, { plugins } from 'neostandard'
import importX from 'eslint-plugin-import-x'
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript'
import { boundaryZones } from './importBoundaries.js'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', '.run/**'] }),
  {
    files: ['**/*.ts'],
    plugins: { 'import-x': importX },
    settings: { 'import-x/resolver-next': [createTypeScriptImportResolver({ project: './tsconfig.json' })] },
    rules: {
      'import-x/no-restricted-paths': ['error', { zones: boundaryZones() }],
      'import-x/no-cycle': 'error'
    }
  },
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': ['error', { checksVoidReturn: false }],
      '@typescript-eslint/naming-convention': ['error',
        { selector: 'memberLike', modifiers: ['private'], format: ['camelCase'], leadingUnderscore: 'require' },
        { selector: 'enumMember', format: ['PascalCase'] },
        { selector: 'typeLike', format: ['PascalCase'] }
      ],
      'max-lines': ['error', { max: 350, skipComments: true, skipBlankLines: true }],
      'max-lines-per-function': ['error', { max: 45, skipComments: true, skipBlankLines: true }],
      complexity: ['error', 12]
    }
  },
  {
    files: ['tests/**/*.ts', 'bench/**/*.ts'],
    rules: { 'max-lines-per-function': 'off' }
  }
]
