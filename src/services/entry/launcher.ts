import type {EntryToSidecar} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import type {AcceptedOffer, EntryAttempt, Progress} from './progress.js';
import {currentProfile} from './remaining-profile.js';
import type {Selection} from './selection.js';

export type LauncherOptions = {
	readonly selection: Selection;
	/** Incarnations of the sidecars with an open link, by endpoint name. */
	readonly incarnations: ReadonlyMap<string, string>;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Starts attempts at endpoints whose sidecars have accepted an offer. */
export class Launcher {
	readonly #options: LauncherOptions;

	constructor(options: LauncherOptions) {
		this.#options = options;
	}

	/** Starts an attempt at the best endpoint that has accepted and still has a link; undefined when there is none. */
	startNext(
		progress: Progress,
		now: number,
	): {attempt: EntryAttempt; firstTokenMs: number} | undefined {
		for (
			let next = this.#options.selection.takeBest(progress);
			next;
			next = this.#options.selection.takeBest(progress)
		) {
			const {endpoint, firstTokenMs} = next;
			const incarnation = this.#options.incarnations.get(endpoint.name);
			if (incarnation !== undefined) {
				const attempt = this.#start(progress, next, incarnation, now);
				return {attempt, firstTokenMs};
			}
		}

		return undefined;
	}

	#start(
		progress: Progress,
		{endpoint, firstTokenMs}: AcceptedOffer,
		incarnation: string,
		now: number,
	): EntryAttempt {
		const {request, superseded} = progress;
		progress.attempts++;
		const attempt: EntryAttempt = {
			id: `${request.id}.${progress.attempts}`,
			endpoint,
			incarnation,
			sentAt: now,
			promisedMs: firstTokenMs,
			measures: 'firstToken',
			lastChunkAt: now,
			started: false,
			detached: undefined,
			head: undefined,
			isRefetching: false,
		};
		this.#options.send(endpoint, {
			type: 'start',
			attempt: attempt.id,
			requestId: request.id,
			incarnation,
			profile: currentProfile(progress, now),
			call: request.call,
			idempotent: request.idempotent,
			idempotencyKey: request.idempotencyKey,
			superseded: superseded.length > 0 ? [...superseded] : undefined,
			resumable: request.resumable,
			remainingMs: progress.deadline - now,
			resume:
				progress.sequence === 0
					? undefined
					: {
							sequence: progress.sequence,
							text: progress.answer.text() ?? '',
							tokens: progress.tokens,
						},
		});
		return attempt;
	}
}
