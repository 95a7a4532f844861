import type {Property} from './property.js';

/** Invariant 5: a non-idempotent request, identified by workspace and key, is executed at most once. */
export const atMostOnce: Property = {
	name: 'at most once',
	violations(history) {
		const requests = new Map<string, string[]>();
		for (const {keyed, identity, request} of history.executed) {
			if (keyed) {
				requests.set(identity, [...(requests.get(identity) ?? []), request]);
			}
		}

		return [...requests]
			.filter(([, executed]) => executed.length > 1)
			.map(
				([identity, executed]) =>
					`${identity}: executed ${executed.length} times, for ${executed.join(', ')}`,
			);
	},
};
