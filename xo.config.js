/** Lint and format rules: XO's own, with the exceptions that a library needs. */
const config = [
	{ignores: ['out/**', 'out-*/**', 'target/**', 'src/node/peers/generated/**']},
	{
		rules: {
			// These only have side effects: the first must come before tsyringe, the second before any schema.
			'import-x/no-unassigned-import': ['error', {allow: ['reflect-metadata', '**/schema-mode.js', '**/*.css']}],
			// House style: type imports are kept apart from value imports of the same module.
			'import-x/no-duplicates': ['error', {'prefer-inline': false}],
			// House style: one task per connection and peer is written straight down, awaiting step by step.
			'no-await-in-loop': 'off',
			// Purify-ts names its constructors Left, Right, Just and Nothing.
			'new-cap': ['error', {capIsNewExceptions: ['Left', 'Right', 'Just', 'Nothing', 'EitherAsync', 'MaybeAsync']}],
		},
	},
	{
		files: ['**/*.cjs'],
		// A start from the older module format takes 20 ms less, and only there a code cache can be given; it knows no top-level await.
		rules: {'unicorn/prefer-module': 'off', 'unicorn/prefer-top-level-await': 'off', 'unicorn/no-process-exit': 'off'},
	},
	{
		files: ['platform/**/*.ts', 'standins/line/**/*.ts'],
		// The platform spells its fields with hyphens and its words in capitals; they are decoded there, once; its stand-in speaks them too.
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
	{
		files: ['**/*.test.ts'],
		// Node:test returns promises that the runner itself awaits.
		rules: {'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', name: ['it', 'describe', 'test'], package: 'node:test'}]}]},
	},
];

export default config;
