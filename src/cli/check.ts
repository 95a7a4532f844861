import {defineCommand} from 'citty';
import {loadSettings} from './settings-file.js';

export const checkCommand = defineCommand({
	meta: {
		name: 'check',
		description: 'Check a settings file without starting anything',
	},
	args: {
		settings: {
			type: 'positional',
			description: 'INI settings file',
			required: true,
		},
	},
	async run({args}) {
		const settings = await loadSettings(args.settings);
		console.log(`${args.settings}: valid, role ${settings.process.role}`);
	},
});
