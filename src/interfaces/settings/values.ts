import {z} from 'zod';

const addressPattern = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v;

/** IPv4 address and port. */
export const address = z.string().regex(addressPattern, {
	error: 'an IPv4 address and port such as 127.0.0.1:8080',
});

export const url = z.string().regex(/^http:\/\/[\d.]+:\d+$/v, {
	error: 'a URL such as http://127.0.0.1:9000',
});

/** Name of an instance, a data centre or a region. */
export const identifier = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, {
	error: '1 to 63 characters of a-z, 0-9, "." and "-"',
});

export const peerKey = z.string().min(16, {error: 'at least 16 characters'});

export const flag = z.boolean({error: 'true or false'});

/** Whole number within inclusive bounds, parsed from the text of an INI value. */
export function integer(min: number, max: number) {
	const error = `a whole number from ${min} to ${max}`;
	return z
		.string({error})
		.regex(/^\d{1,15}$/v, {error})
		.transform(Number)
		.refine((value) => value >= min && value <= max, {error});
}
