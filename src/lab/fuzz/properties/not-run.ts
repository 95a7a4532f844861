import type {Property} from './property.js';

/** Invariant 4: a request whose caller receives the outcome `not_run` has not been executed and never will be. */
export const notRun: Property = {
	name: 'not run',
	violations: (history) =>
		[
			...[...history.sent.values()].map((sent) => ({sent, ends: sent.ends})),
			...history.resumedStreams.values(),
		].flatMap(({sent, ends}) => {
			const notRunEnd = ends.find(({outcome}) => outcome === 'not_run');
			const executed = history.executed.find(
				({request}) => request === sent.id,
			);
			return notRunEnd && executed
				? [
						`${sent.id}: reported as not_run (${notRunEnd.code}) at ${notRunEnd.at.toFixed(1)}, executed by ${executed.endpoint} at ${executed.at.toFixed(1)}`,
					]
				: [];
		}),
};
