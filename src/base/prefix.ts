import {hash32} from './rendezvous.js';

/**
 * Chained hashes of a prompt's blocks, shortest prefix first, so that equal
 * hashes mean equal prefixes up to that block. A last partial block is left out.
 */
export function prefixHashes(text: string, blockLength: number): string[] {
	const hashes: string[] = [];
	let previous = '';
	for (let end = blockLength; end <= text.length; end += blockLength) {
		const block = text.slice(end - blockLength, end);
		previous = hash32(`${previous}\n${block}`).toString(36);
		hashes.push(previous);
	}

	return hashes;
}
