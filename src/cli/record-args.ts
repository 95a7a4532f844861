/** Arguments shared by the record commands. */
export const recordArgs = {
	table: {type: 'string', description: 'URL of the table', required: true},
	operator: {
		type: 'string',
		description:
			'Operator that writes; must have a term at the revision written',
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
