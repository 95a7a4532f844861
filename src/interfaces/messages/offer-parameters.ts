import {z} from 'zod';
import {contractSchema, profileSchema} from './attempt.js';
import type {EntryToSidecar} from './peer.js';

type Offer = Extract<EntryToSidecar, {type: 'offer'}>;

const contract = contractSchema.shape;
const profile = profileSchema.shape;

/**
 * Positional parameters of the `offer` notification.
 *
 * Offers are most of an entry's control traffic; without the names of the
 * fields they are about half as long.
 */
const offerParametersSchema = z.tuple([
	z.string(),
	z.number(),
	profile.target,
	profile.kind,
	profile.promptTokens,
	z.int().positive().nullable(),
	profile.prefix,
	contract.workspace,
	contract.requestClass,
	contract.tier,
	contract.firstTokenMs,
	contract.gapMs,
	contract.share,
	contract.weight,
	contract.patience,
]);

export type OfferParameters = z.infer<typeof offerParametersSchema>;

/** Positional form of an offer; times are rounded up to whole milliseconds. */
export function encodeOffer(offer: Offer): OfferParameters {
	const {profile: work, id, remainingMs} = offer;
	const terms = work.contract;
	return [
		id,
		Math.ceil(remainingMs),
		work.target,
		work.kind,
		work.promptTokens,
		work.maxTokens ?? null,
		work.prefix,
		terms.workspace,
		terms.requestClass,
		terms.tier,
		Math.ceil(terms.firstTokenMs),
		terms.gapMs,
		terms.share,
		terms.weight,
		terms.patience,
	];
}

/** Offer from its positional form; throws a `ZodError` when it does not fit. */
export function decodeOffer(parameters: unknown): Offer {
	const [
		id,
		remainingMs,
		target,
		kind,
		promptTokens,
		maxTokens,
		prefix,
		workspace,
		requestClass,
		tier,
		firstTokenMs,
		gapMs,
		share,
		weight,
		patience,
	] = offerParametersSchema.parse(parameters);
	return {
		type: 'offer',
		id,
		remainingMs,
		profile: {
			target,
			kind,
			promptTokens,
			maxTokens: maxTokens ?? undefined,
			prefix,
			contract: {
				workspace,
				requestClass,
				tier,
				firstTokenMs,
				gapMs,
				share,
				weight,
				patience,
			},
		},
	};
}
