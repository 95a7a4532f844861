import {readFileSync} from 'node:fs';

/**
 * Reason why a test may fail at present, from KNOWN-RED.txt at the root, or
 * false. The test runner prints such a test and its failure but does not fail.
 */
export function knownRed(test: string): string | false {
	const line = readLines().find((item) => item.startsWith(`${test} | `));
	return line ?? false;
}

function readLines(): string[] {
	try {
		return readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
	} catch {
		return [];
	}
}
