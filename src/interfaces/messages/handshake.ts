import {z} from 'zod';
import {helloSchema} from './peer.js';

/** 16 random bytes in hexadecimal form. */
const nonce = z.string().regex(/^[\da-f]{32}$/v);

/** HMAC-SHA-256 in hexadecimal form. */
const proof = z.string().regex(/^[\da-f]{64}$/v);

/** `hello`, in both directions: a nonce that the other side's proof must cover. */
export const challengeSchema = z.object({nonce});

/** `hello.prove`: the connecting side's identity with one proof for each of its keys. */
export const proveSchema = z.object({
	hello: helloSchema,
	proofs: z.array(proof).min(1).max(2),
});

/** Answer to `hello.prove`: the accepting side's identity, proved with the key that both have. */
export const provedSchema = z.object({hello: helloSchema, proof});
