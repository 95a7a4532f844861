import type {FlatXoConfig} from 'xo';

/** Folders in order of their layer; each may import only from those before it. */
const layers = ['base', 'interfaces', 'services', 'daemons', 'lab', 'cli'];

const layerZones = layers.slice(0, -1).map((layer, index) => ({
	target: `./src/${layer}`,
	from: layers.slice(index + 1).map((above) => `./src/${above}`),
	message: `src/${layer} must not import from a layer above it`,
}));

const config: FlatXoConfig = [
	{ignores: ['dist/**', 'target/**', 'journal/**']},
	{
		prettier: true,
		rules: {
			'import-x/no-restricted-paths': [
				'error',
				{
					zones: [
						...layerZones,
						{
							target: './src/services',
							from: ['./src/interfaces/adapters', './src/interfaces/standins'],
							message: 'src/services decides; it must not reach outside',
						},
					],
				},
			],
			// The package resolves its own ".js" specifiers through TypeScript.
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			// Wire formats and settings use snake_case and kebab-case keys.
			'@typescript-eslint/naming-convention': 'off',
			// Messages carry null where the wire format does.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// Common short names (args, ref, ms) are the ones that readers expect.
			'unicorn/prevent-abbreviations': 'off',
			// Sequential awaits are intended in tests and command-line code.
			'no-await-in-loop': 'off',
			// An event is declared after the emitter that it exposes.
			'@typescript-eslint/member-ordering': 'off',
			'max-params': ['error', {max: 5}],
		},
	},
	{
		files: ['src/services/**/*.ts', 'src/base/**/*.ts'],
		rules: {
			// Decisions are deterministic: time, randomness and output are handed in.
			'no-restricted-globals': [
				'error',
				'setTimeout',
				'setInterval',
				'setImmediate',
				'performance',
				'process',
				'console',
				'Buffer',
			],
			'no-restricted-properties': [
				'error',
				{object: 'Math', property: 'random'},
				{object: 'Date', property: 'now'},
			],
			'no-restricted-imports': [
				'error',
				{patterns: ['node:*', 'undici', 'ws']},
			],
		},
	},
	{
		files: ['src/cli/**/*.ts', 'platform/main.ts', 'platform/soak/main.ts'],
		rules: {
			// Commands end with the exit status that operators' scripts rely on.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: ['**/*.test.ts', '**/*.crowd.ts'],
		rules: {
			// Module node:test returns promises that the runner itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
			// An assertion on the value follows at once where its type is asserted.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Tests of pure modules may use timers, processes and file access.
			'no-restricted-globals': 'off',
			'no-restricted-imports': 'off',
		},
	},
];

export default config;
