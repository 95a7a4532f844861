import type {Property} from './property.js';

/** After all faults have ended, every new request succeeds. */
export const recovery: Property = {
	name: 'recovery',
	violations: (history) =>
		[...history.sent.values()]
			.filter(
				({isProbe, ends}) => isProbe && ends.at(0)?.outcome !== 'completed',
			)
			.map(
				({id, entry, target, ends}) =>
					`${id}: ${target} at ${entry} got ${ends[0]?.outcome ?? 'nothing'} (${ends[0]?.code ?? ''})`,
			),
};
