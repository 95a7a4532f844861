import type {EntryToSidecar} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import type {Accepted, EntryAttempt, Progress} from './progress.js';
import {currentProfile} from './remaining-profile.js';
import type {Selection} from './selection.js';

export type LauncherParts = {
	readonly selection: Selection;
	/** Incarnations of the sidecars to which there are links, by endpoint name. */
	readonly incarnations: ReadonlyMap<string, string>;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Sends attempts to sidecars that have accepted offers. */
export class Launcher {
	readonly #parts: LauncherParts;

	constructor(parts: LauncherParts) {
		this.#parts = parts;
	}

	/** Starts an attempt at the best endpoint that has accepted and is still connected. */
	startNext(
		progress: Progress,
		now: number,
	): {attempt: EntryAttempt; firstTokenMs: number} | undefined {
		for (
			let next = this.#parts.selection.take(progress);
			next;
			next = this.#parts.selection.take(progress)
		) {
			const {endpoint, firstTokenMs} = next;
			const incarnation = this.#parts.incarnations.get(endpoint.name);
			if (incarnation !== undefined) {
				const attempt = this.#start(progress, next, incarnation, now);
				return {attempt, firstTokenMs};
			}
		}

		return undefined;
	}

	#start(
		progress: Progress,
		{endpoint, firstTokenMs}: Accepted,
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
			refetching: false,
		};
		this.#parts.send(endpoint, {
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
