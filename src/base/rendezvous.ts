/** 32-bit FNV-1a hash with a final avalanche step, so that similar ids spread evenly. */
export function hash32(text: string): number {
	let hash = 0x81_1c_9d_c5;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise, unicorn/prefer-code-point
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	/* eslint-disable no-bitwise */
	hash ^= hash >>> 16;
	hash = Math.imul(hash, 0x85_eb_ca_6b);
	hash ^= hash >>> 13;
	hash = Math.imul(hash, 0xc2_b2_ae_35);
	return (hash ^ (hash >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}

/** Mixes two hashes into one, evenly spread; cheap enough to rank every endpoint for every request. */
export function mix32(a: number, b: number): number {
	/* eslint-disable no-bitwise */
	let hash = Math.imul(a ^ (b >>> 15), 0x85_eb_ca_6b) ^ b;
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
	return (hash ^ (hash >>> 13)) >>> 0;
	/* eslint-enable no-bitwise */
}

/**
 * The `count` ids that rank highest for a key by rendezvous hashing
 * (Thaler and Ravishankar 1998): when an id joins or leaves, only its own keys move.
 */
export function rendezvous(
	key: string,
	ids: readonly string[],
	count: number,
): string[] {
	return ids
		.map((id) => ({id, score: hash32(`${key}\n${id}`)}))
		.toSorted((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
		.slice(0, count)
		.map((ranked) => ranked.id);
}
