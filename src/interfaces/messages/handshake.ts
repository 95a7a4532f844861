import {z} from 'zod';
import {helloSchema} from './peer.js';

/** 16 random bytes in hexadecimal form. */
const nonce = z.string().regex(/^[\da-f]{32}$/v);

/** HMAC-SHA-256 in hexadecimal form. */
const proof = z.string().regex(/^[\da-f]{64}$/v);

/** Parameters and result of `hello`: each side sends a nonce that the other side's proof must cover. */
export const challengeSchema = z.object({nonce});

/** Parameters of `hello.prove`: the connecting side's identity, with one proof for each of its keys. */
export const proveParametersSchema = z.object({
	hello: helloSchema,
	proofs: z.array(proof).min(1).max(2),
});

/** Result of `hello.prove`: the accepting side's identity, with a proof made with the key that both sides have. */
export const proveResultSchema = z.object({hello: helloSchema, proof});
