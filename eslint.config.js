import neostandard from 'neostandard'
import tsdoc from 'eslint-plugin-tsdoc'

export default [
  ...neostandard({ ts: true, ignores: ['dist', 'target', 'node_modules'] }),
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: {
      'tsdoc/syntax': 'error',
      'no-void': ['error', { allowAsStatement: true }],
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off'
    }
  }
]
