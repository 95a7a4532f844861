import {
	minServerErrorStatus,
	type SendEnd,
	type Upstream,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import {loggedParts} from './crash-reports.js';
import type {CallerRequest, ExchangeContext} from './exchange-context.js';
import {firstNonSuccessStatus} from './send.js';
import {SurvivalWatch} from './survival-watch.js';

/** What the sends of one request show about whether it crashes endpoints. */
export class CrashEvidence {
	readonly #context: ExchangeContext;
	readonly #request: CallerRequest;
	readonly #fingerprints: readonly number[];

	constructor(
		context: ExchangeContext,
		request: CallerRequest,
		fingerprints: readonly number[],
	) {
		this.#context = context;
		this.#request = request;
		this.#fingerprints = fingerprints;
	}

	/** Watches whether the request is harmless. */
	watchSurvival(): SurvivalWatch {
		const {crashReports, loopLag} = this.#context;
		return new SurvivalWatch(
			async () => loopLag.readSockets(),
			() => {
				crashReports.recordSurvival(this.#fingerprints, monotonicNow());
			},
		);
	}

	/** Records what the end of a send shows about the request: whether it may crash endpoints. */
	record(
		end: SendEnd,
		upstream: Upstream,
		{isUnanswered}: {readonly isUnanswered: boolean},
	): void {
		const now = monotonicNow();
		const {crashReports, log} = this.#context;
		const fingerprints = this.#fingerprints;
		const {head, route} = this.#request;
		const {requestId, prompt} = head;
		const parts = prompt?.parts ?? [];
		const send = {requestId, fingerprints, parts, at: now};
		switch (end.type) {
			case 'broken':
			case 'silent':
			case 'gone':
			case 'moved': {
				if (isUnanswered) {
					log.info('send_unanswered', {
						request: requestId,
						route: route.name,
						endpoint: upstream.id,
						reason: end.reason,
						fingerprint: fingerprints.at(-1)!,
						parts: loggedParts(parts),
					});
					void crashReports.recordUnanswered(upstream, {
						...send,
						isEngineGone: end.type === 'gone',
						connection: end.type === 'broken' ? 'closed' : 'open',
					});
				}

				break;
			}

			case 'answered':
			case 'delivered': {
				const status = end.type === 'answered' ? end.status : 0;
				crashReports.recordSurvival(survivors(fingerprints, status), now);
				break;
			}

			case 'superseded':
			case 'withdrawn':
			case 'expired':
			case 'abandoned': {
				if (isUnanswered) {
					crashReports.recordEnd(upstream, send);
				}

				break;
			}

			case 'unsent':
			case 'rejected': {
				break;
			}
		}
	}
}

/** Fingerprints that an answer with a status shows to be harmless: a server that has refused a request for its content has run it, but not read its prompt, and one that has failed may have done neither. */
function survivors(
	fingerprints: readonly number[],
	status: number,
): readonly number[] {
	if (status < firstNonSuccessStatus) {
		return fingerprints;
	}

	return status < minServerErrorStatus ? fingerprints.slice(-1) : [];
}
