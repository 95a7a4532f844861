import {z} from 'zod';
import {contractSchema, profileSchema} from './attempt.js';
import type {EntryToSidecar} from './peer.js';

type Offer = Extract<EntryToSidecar, {type: 'offer'}>;

const contractShape = contractSchema.shape;
const profileShape = profileSchema.shape;

/**
 * Positional parameters of the `offer` notification.
 *
 * Offers are most of an entry's control traffic; without field names they are
 * about half as long.
 */
const offerParametersSchema = z.tuple([
	z.string(),
	z.number(),
	profileShape.target,
	profileShape.kind,
	profileShape.promptTokens,
	z.int().positive().nullable(),
	profileShape.prefix,
	contractShape.workspace,
	contractShape.requestClass,
	contractShape.tier,
	contractShape.firstTokenMs,
	contractShape.gapMs,
	contractShape.share,
	contractShape.weight,
	contractShape.patience,
]);

export type OfferParameters = z.infer<typeof offerParametersSchema>;

/** Converts an offer to positional form; times are rounded up to whole milliseconds. */
export function encodeOffer(offer: Offer): OfferParameters {
	const {profile, id, remainingMs} = offer;
	const terms = profile.contract;
	return [
		id,
		Math.ceil(remainingMs),
		profile.target,
		profile.kind,
		profile.promptTokens,
		profile.maxTokens ?? null,
		profile.prefix,
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

/** Converts an offer from positional form; throws a `ZodError` when the parameters are not valid. */
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
