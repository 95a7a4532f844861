import type {Property} from './property.js';

/** Invariant 4: a request whose caller is told `not_run` has not been executed and never will be. */
export const notRun: Property = {
	name: 'not run',
	violations: (history) =>
		[
			...[...history.sent.values()].map((sent) => ({sent, ends: sent.ends})),
			...history.returned.values(),
		].flatMap(({sent, ends}) => {
			const told = ends.find(({outcome}) => outcome === 'not_run');
			const executed = history.executed.find(
				({request}) => request === sent.id,
			);
			return told && executed
				? [
						`${sent.id}: told not_run (${told.code}) at ${told.at.toFixed(1)}, executed by ${executed.endpoint} at ${executed.at.toFixed(1)}`,
					]
				: [];
		}),
};
