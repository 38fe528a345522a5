/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['dist'],
	},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			// House style: enums, named exports only, customary short names.
			'unicorn/prevent-abbreviations': 'off',
			'import-x/prefer-default-export': 'off',
			'@typescript-eslint/naming-convention': 'off',
			// A task for each connection awaits inside its loop.
			'no-await-in-loop': 'off',
			// Races against a stop signal need promise constructors.
			'promise/prefer-await-to-then': 'off',
			// The command line library names its builders so.
			'new-cap': ['error', {capIsNewExceptions: ['Usage', 'String', 'Boolean', 'Array', 'Rest', 'Proxy']}],
			// Input of unknown shape is checked by schemas first; the assertion then names its type.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Handlers of node:http are async and handle their own errors; its bodies are Buffers.
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/no-misused-promises': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'n/prefer-global/buffer': 'off',
			// Patterns here are plain ASCII.
			'require-unicode-regexp': 'off',
			'unicorn/no-await-expression-member': 'off',
			'unicorn/no-array-reduce': 'off',
			'no-bitwise': 'off',
			'capitalized-comments': 'off',
			'max-params': ['error', 5],
		},
	},
	{
		files: ['test/**/*.ts'],
		rules: {
			'max-nested-callbacks': 'off',
		},
	},
];

export default config;
