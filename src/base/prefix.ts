import {hash32} from './rendezvous.js';

/**
 * Number of leading blocks covered by the hash at an index of a sampled
 * prefix: 1, 2, 3, 4, 6, 8, 12, 16, 24 and so on. An offer thus carries a
 * prefix of any length in few bytes, and the length that two prompts have in
 * common is known to within a third.
 */
export function sampledLength(index: number): number {
	if (index === 0) {
		return 1;
	}

	return index % 2 === 1 ? 2 ** ((index + 1) / 2) : 3 * 2 ** ((index - 2) / 2);
}

/** Selects from a chain of block hashes those at the sampled lengths. */
export function samplePrefix(chain: readonly string[]): string[] {
	const sampled: string[] = [];
	for (
		let length = sampledLength(0);
		length <= chain.length;
		length = sampledLength(sampled.length)
	) {
		sampled.push(chain[length - 1]!);
	}

	return sampled;
}

/**
 * Sampled hashes of a prompt's leading blocks, shortest prefix first: equal
 * hashes mean equal prefixes. A last partial block is left out.
 */
export function prefixHashes(text: string, blockLength: number): string[] {
	const chain: string[] = [];
	let previous = '';
	for (let end = blockLength; end <= text.length; end += blockLength) {
		const block = text.slice(end - blockLength, end);
		previous = hash32(`${previous}\n${block}`).toString(36);
		chain.push(previous);
	}

	return samplePrefix(chain);
}
