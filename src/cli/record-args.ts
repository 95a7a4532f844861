/** Arguments that several record commands share. */
export const recordArgs = {
	table: {type: 'string', description: 'URL of the table', required: true},
	operator: {
		type: 'string',
		description: 'Operator in whose term to write',
		required: true,
	},
	kind: {
		type: 'positional',
		description: 'Kind of the record',
		required: true,
	},
	name: {
		type: 'positional',
		description: 'Name of the record',
		required: true,
	},
	'dry-run': {type: 'boolean', description: 'Check without writing'},
	json: {type: 'boolean', description: 'Print JSON, one value per line'},
} as const;
