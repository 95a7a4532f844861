import type {SendEnd, Upstream} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import {loggedParts} from './crash-reports.js';
import type {CallerRequest, ExchangeContext} from './exchange-context.js';
import {firstNonSuccessStatus, type Send} from './send.js';

/** Time after the first output for which an endpoint must live until the request counts as harmless, in milliseconds. */
const survivalMs = 250;

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

	/** Schedules the record that the request is harmless, if it is suspected. */
	scheduleSurvival(): NodeJS.Timeout | undefined {
		const {crashReports, crashSuspects} = this.#context;
		const fingerprints = this.#fingerprints;
		return crashSuspects.isSuspected(fingerprints)
			? setTimeout(() => {
					crashReports.recordSurvival(fingerprints, monotonicNow());
				}, survivalMs)
			: undefined;
	}

	/** Records what the end of a send shows about the request: whether it may crash endpoints. */
	record(send: Send, end: SendEnd, upstream: Upstream, now: number): void {
		const {crashReports, log} = this.#context;
		const fingerprints = this.#fingerprints;
		const {head, route} = this.#request;
		const {requestId, prompt} = head;
		switch (end.type) {
			case 'broken':
			case 'silent':
			case 'gone':
			case 'moved': {
				const answeredAt = send.firstByteAt ?? now;
				if (send.isSent && now - answeredAt < survivalMs) {
					const parts = prompt?.parts ?? [];
					log.info('send_unanswered', {
						request: requestId,
						route: route.name,
						endpoint: upstream.id,
						reason: end.reason,
						fingerprint: fingerprints.at(-1)!,
						parts: loggedParts(parts),
					});
					void crashReports.recordUnanswered(upstream, {
						requestId,
						fingerprints,
						parts,
						at: now,
						isEngineGone: end.type === 'gone',
						connection: end.type === 'broken' ? 'closed' : 'open',
					});
				}

				break;
			}

			case 'answered':
			case 'delivered': {
				const isError =
					end.type === 'answered' && end.status >= firstNonSuccessStatus;
				if (!isError) {
					crashReports.recordSurvival(fingerprints, now);
				}

				break;
			}

			case 'unsent':
			case 'rejected':
			case 'withdrawn':
			case 'expired':
			case 'abandoned': {
				break;
			}
		}
	}
}
