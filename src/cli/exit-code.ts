/** Exit codes of the record commands. */
export const exitCodes = {
	done: 0,
	/** Differences were found, or the record does not exist. */
	different: 1,
	/** The arguments or the records are invalid; nothing was changed. */
	invalid: 2,
	/** Another write changed the record first; nothing was changed by this one. */
	conflict: 3,
	/** The operator has no term at this revision; nothing was changed. */
	noTerm: 4,
	/** The table could not be reached, or other writes were accepted first at each attempt; nothing was changed. */
	unavailable: 5,
	/** Not yet known whether the write was accepted. */
	unknown: 6,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Standard output and standard error of a command; tests collect the text instead. */
export type Output = {
	out(text: string): void;
	error(text: string): void;
};

export const terminal: Output = {
	out(text) {
		console.log(text);
	},
	error(text) {
		console.error(text);
	},
};
