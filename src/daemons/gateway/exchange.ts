import type {Disposable} from '../../base/index.js';
import {
	backupFor,
	expiresAt,
	isAnswer,
	mayResume,
	minServerErrorStatus,
	nextStep,
	sendTimeouts,
	stoppingRefusal,
	type DecisiveEnd,
	type RequestState,
	type NextStep,
	type SendEnd,
	type Upstream,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {CallerOutput} from './caller-output.js';
import type {CallerRequest, ExchangeContext} from './exchange-context.js';
import {sendLocalReply} from './local-reply.js';
import {CrashEvidence} from './crash-evidence.js';
import {HedgedSends} from './hedged-sends.js';
import {RequestHedge} from './request-hedge.js';
import {
	noCapacityReason,
	RequestPlacement,
	withheldReason,
	type PlacedRequest,
} from './request-placement.js';
import {hasContentLength} from './raw-headers.js';
import {Send, type BufferedAnswer, type StreamPosition} from './send.js';

/** Width of the random jitter as a fraction of a Retry-After value, so that callers do not all retry at once. */
const retryAfterJitter = 0.5;

/** Ends of a stream's send by which an answer of its engine is lost. */
const lossTypes: ReadonlySet<SendEnd['type']> = new Set([
	'broken',
	'silent',
	'gone',
	'moved',
]);

/** Statuses whose responses have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** The send that decides what follows, and how it ended. */
type DecisiveSend = {readonly send: Send; readonly end: DecisiveEnd};

/** Handles one request of a caller: places it, sends it to endpoints, hedges and retries where allowed and responds. */
export class Exchange implements Disposable {
	readonly #context: ExchangeContext;
	readonly #request: CallerRequest;
	readonly #output: CallerOutput;
	readonly #expiresAt: number;
	readonly #position: StreamPosition;
	readonly #placement: RequestPlacement;
	readonly #hedge: RequestHedge;
	readonly #crashEvidence: CrashEvidence;
	readonly #inProgress = new HedgedSends();
	/** Sends of which a loss has been recorded. */
	readonly #lost = new WeakSet<Send>();
	/** Sends that have ended and may have reached an endpoint. */
	#sends = 0;
	#failedConnections = 0;
	#mayHaveRun = false;
	/** An endpoint has ended a send without a whole answer, or has itself ended. */
	#wasBrokenOff = false;
	/** Engine that holds a replica of the run's KV cache; undefined when there is none or it has been used. */
	#backup: Upstream | undefined;
	/** Answer of the send that decided what follows. */
	#answer: BufferedAnswer | undefined;
	#failedAnswer: BufferedAnswer | undefined;
	#isAbandoned = false;
	#firstByteAt: number | undefined;
	#longestPauseMs = 0;

	constructor(
		context: ExchangeContext,
		request: CallerRequest,
		output: CallerOutput,
	) {
		this.#context = context;
		this.#request = request;
		this.#output = output;
		this.#position = {lastEventId: request.head.lastEventId};
		this.#expiresAt = expiresAt(
			request.route,
			request.head,
			request.receivedAt,
		);
		this.#placement = new RequestPlacement(context, request, () => ({
			sends: this.#sentCount,
			mayHaveRun: this.#mayHaveRun || this.#inProgress.sentCount > 0,
			hasAnswer: output.hasSentHeaders,
			isAbandoned: this.#isAbandoned,
			expiresAt: this.#expiresAt,
		}));
		this.#crashEvidence = new CrashEvidence(
			context,
			request,
			this.#placement.fingerprints,
		);
		this.#hedge = new RequestHedge({
			context,
			requestId: request.head.requestId,
			isOnce: request.route.retryMode === 'once',
			placement: this.#placement,
			state: () => this.#requestState(),
			hasRetry: () => this.#hasRetry(),
			takeRetry: () => this.#takeRetry(),
		});
	}

	/** Handles the request until the response has ended; never rejects. */
	async run(): Promise<void> {
		const {retryAllowance, endpoints} = this.#context;
		const {service, route, head} = this.#request;
		const now = monotonicNow();
		retryAllowance.request(service.name, now);
		endpoints.demand(service.name).recordRequest(
			{
				tier: this.#placement.tier,
				rank: this.#request.rank,
				objectiveMs: route.objectiveMs,
				timeoutMs: route.timeoutMs,
				outputTokens: head.prompt?.outputTokens ?? 0,
			},
			now,
		);
		const expiry = setTimeout(() => {
			void this.#expire();
		}, this.#expiresAt - now);
		let step: NextStep = {type: 'send'};
		while (step.type === 'send' || step.type === 'resume') {
			step =
				step.type === 'send' ? await this.#sendOnce() : await this.#resume();
		}

		clearTimeout(expiry);
		this.#finish(step);
	}

	/** Handles a disconnect of the caller. A request that runs at most once and has been sent runs to its end, unless it is a stream, so that its outcome does not depend on when the caller left. */
	dispose(): void {
		this.#isAbandoned = true;
		const {route} = this.#request;
		if (
			route.isStream ||
			route.retryMode !== 'once' ||
			this.#inProgress.sentCount === 0
		) {
			this.#inProgress.cancel({type: 'abandoned'});
		}
	}

	/** Makes the response the last one on its connection, if its head has not been sent. */
	disableKeepAlive(): void {
		this.#output.disableKeepAlive();
	}

	/** Ends the request because the gateway stops. One that waits for capacity is refused by its placement. */
	stop(): void {
		this.#inProgress.cancel({
			type: 'withdrawn',
			reason: stoppingRefusal.reason,
		});
	}

	/** Aborts the response when the process ends. */
	cut(): void {
		this.#output.cut();
	}

	/** Cancels the sends that endpoints have not begun to answer when the request turns out to crash endpoints. One that goes on at another endpoint after a part of its answer, because the first is slow, is not cut: it has crashed none. */
	withdrawSuspect(): void {
		if (this.#output.hasSentHeaders && !this.#wasBrokenOff) {
			return;
		}

		const verdict = this.#context.crashSuspects.check(
			this.#placement.fingerprints,
			monotonicNow(),
			true,
		);
		if (verdict.type === 'withheld') {
			this.#inProgress.cancelUnanswered({
				type: 'withdrawn',
				reason: withheldReason,
			});
		}
	}

	/** Gives up the sends in progress, unless an answer has arrived while this process was busy. */
	async #expire(): Promise<void> {
		await this.#context.loopLag.readSockets();
		this.#inProgress.cancel({type: 'expired'});
	}

	async #sendOnce(): Promise<NextStep> {
		if (this.#isAbandoned) {
			return {type: 'done'};
		}

		if (this.#remainingMs() <= 0) {
			return nextStep({type: 'expired'}, this.#requestState(), () => false);
		}

		const placement = await this.#placement.wait();
		switch (placement.type) {
			case 'refuse': {
				const {reason, retryAfterMs} = placement;
				return this.#giveUp(reason, retryAfterMs);
			}

			case 'abandoned': {
				return {type: 'done'};
			}

			case 'send': {
				return this.#chooseNextStep(await this.#sendTo(placement));
			}
		}
	}

	/** Resumes the run when the engine that holds the replica of its KV cache has capacity. */
	async #resume(): Promise<NextStep> {
		const upstream = this.#backup!;
		return (await this.#placement.waitToResume(upstream))
			? this.#chooseNextStep(await this.#resumeAt(upstream))
			: this.#giveUp('the copy of the run is out of reach', 0);
	}

	/** Calls `resume` when the run may continue from its replica, while its silent engine may still go on; `canHedge` must then hold. The retry is taken last. */
	async #tryResume(
		canHedge: () => boolean,
		resume: (upstream: Upstream) => void,
	): Promise<void> {
		const upstream = this.#backup;
		if (
			!upstream ||
			!canHedge() ||
			!mayResume(this.#requestState(), () => this.#hasRetry()) ||
			!(await this.#placement.waitToResume(upstream))
		) {
			return;
		}

		await this.#context.loopLag.readSockets();
		if (
			canHedge() &&
			mayResume(this.#requestState(), () => this.#takeRetry())
		) {
			resume(upstream);
		}
	}

	/** Resumes the run on the engine that holds the replica of its KV cache. */
	async #resumeAt(upstream: Upstream): Promise<DecisiveSend> {
		this.#backup = undefined;
		const activeRequest = upstream.begin(
			this.#placement.links,
			0,
			monotonicNow(),
		);
		const expectedMs = 0;
		this.#log('resumed', {
			endpoint: upstream.id,
			tier: this.#placement.requestedTier,
			priority: this.#request.priority,
			last_event: this.#position.lastEventId ?? '',
		});
		return this.#sendTo({
			type: 'send',
			upstream,
			expectedMs,
			donor: undefined,
			activeRequest,
			resumeUpstream: upstream,
		});
	}

	/** Sends the request to a place, and hedges it elsewhere while that endpoint is slow. Resolves when nothing is in progress any more that could still answer the caller. */
	async #sendTo(placement: PlacedRequest): Promise<DecisiveSend> {
		const {
			upstream,
			expectedMs,
			donor,
			activeRequest,
			resumeUpstream,
			connection,
		} = placement;
		const {
			format,
			connections,
			peers,
			queue,
			signals,
			livenessChecks,
			loopLag,
		} = this.#context;
		const {method, target, headers, body, head, route, workspace, priority} =
			this.#request;
		const canSendAgain = this.#sentCount + 1 < route.maxSends;
		let hedge: Promise<DecisiveSend> | undefined;
		const send: Send = new Send({
			format,
			upstream,
			connections: connections.poolFor(upstream),
			connection,
			output: this.#output,
			requestId: head.requestId,
			isStream: route.isStream,
			isOnce: route.retryMode === 'once',
			position: this.#position,
			checkLiveness: async (silentSince) =>
				livenessChecks.check(upstream, silentSince, 'open'),
			readSockets: async () => loopLag.readSockets(),
			tryHedge: async (reason, isIdle) =>
				this.#hedge.try(
					() => isIdle() && this.#inProgress.isNewest(send),
					(place) => {
						this.#recordRepeat('slow', reason);
						hedge = this.#sendTo(place);
					},
				),
			onDidFallSilent: async (isIdle) => {
				this.#recordLoss(send);
				await this.#tryResume(
					() => isIdle() && this.#inProgress.isNewest(send),
					(replicaAt) => {
						this.#recordRepeat(
							'silent',
							'endpoint is silent on all connections',
						);
						hedge = this.#resumeAt(replicaAt);
					},
				);
			},
			onWillForward: () => {
				this.#inProgress.keep(send);
			},
			onHead(status, answerHead, isOwn) {
				signals.applyHead(upstream, status, answerHead, isOwn);
			},
			...sendTimeouts(route, expectedMs, canSendAgain),
		});
		this.#inProgress.add(send);
		const startedAt = monotonicNow();
		const survival = this.#crashEvidence.watchSurvival();
		send.onDidReceiveOutput = () => {
			survival.start();
			upstream.answered(activeRequest, this.#placement.links);
			peers.queuePrefillNotices(
				upstream,
				this.#placement.links.slice(0, -1),
				true,
			);
			queue.dispatchSoon();
		};

		const backup = resumeUpstream ? undefined : this.#chooseBackup(upstream);
		this.#backup = backup;
		send.start({
			method,
			path: target,
			headers: format.requestHeaders(headers, {
				endpointId: upstream.id,
				deadlineMs: this.#remainingMs(),
				workspace: workspace?.name,
				priority,
				lastEventId: this.#output.hasSentHeaders
					? this.#position.lastEventId
					: undefined,
				copyFrom: donor?.listed.address,
				backupAt: backup?.listed.address,
				resumeFrom: resumeUpstream && {
					address: resumeUpstream.listed.address,
					requestId: head.requestId,
				},
			}),
			body: body.length > 0 ? body : null,
		});
		const end = await send.ended;
		if (isAnswer(end, this.#output.hasSentHeaders)) {
			this.#inProgress.keep(send);
		}

		this.#inProgress.delete(send);
		survival.dispose();
		upstream.end(activeRequest);
		this.#recordEnd(send, end, placement, startedAt);
		if (hedge !== undefined || this.#inProgress.size > 0) {
			this.#log('hedge_ended', {
				endpoint: upstream.id,
				end: end.type,
				reason: 'reason' in end ? end.reason : '',
				in_progress: this.#inProgress.size,
			});
		}

		this.#crashEvidence.record(end, upstream, {
			isUnanswered: send.isSent && !survival.hasSurvived,
		});
		queue.dispatchSoon();
		return this.#decide(send, end, hedge);
	}

	/** Chooses between a send that has ended and the one that hedges it. */
	async #decide(
		send: Send,
		end: SendEnd,
		hedge: Promise<DecisiveSend> | undefined,
	): Promise<DecisiveSend> {
		if (end.type === 'moved') {
			return hedge!;
		}

		if (isAnswer(end, this.#output.hasSentHeaders)) {
			await hedge;
			return {send, end};
		}

		if (this.#inProgress.size > 0 && isServerError(end)) {
			this.#failedAnswer = send.answer;
		}

		return hedge && this.#inProgress.size > 0 ? hedge : {send, end};
	}

	#hasRetry(): boolean {
		const {retryAllowance, gateways} = this.#context;
		const {name} = this.#request.service;
		return retryAllowance.has(name, monotonicNow(), gateways());
	}

	#takeRetry(): boolean {
		const {retryAllowance, gateways} = this.#context;
		const {name} = this.#request.service;
		return retryAllowance.take(name, monotonicNow(), gateways());
	}

	/** Chooses an engine for a replica of the run's KV cache: only for a stream that runs at most once, as any other request can be retried when its engine fails, and only while failures are likely. */
	#chooseBackup(upstream: Upstream): Upstream | undefined {
		const {endpoints, rateLimits} = this.#context;
		const {head, route, service} = this.#request;
		const now = monotonicNow();
		return head.prompt &&
			route.isStream &&
			route.retryMode === 'once' &&
			endpoints.losses(service.name).areLikely(now)
			? backupFor(
					head.prompt,
					upstream,
					endpoints
						.serving(service.name, now)
						.filter(({key}) => rateLimits.perSecond(key) === undefined),
					head.requestId,
					now,
				)
			: undefined;
	}

	/** Updates the metrics, the state of this request and the health of the endpoint after a send. */
	#recordEnd(
		send: Send,
		end: SendEnd,
		{upstream, expectedMs}: PlacedRequest,
		startedAt: number,
	): void {
		const now = monotonicNow();
		this.#context.metrics.sent(this.#request.service.name, end.type);
		if (send.isSent) {
			this.#sends++;
		}

		this.#firstByteAt ??= send.firstByteAt;
		this.#longestPauseMs = Math.max(this.#longestPauseMs, send.longestPauseMs);
		if (send.firstByteAt !== undefined && expectedMs > 0) {
			upstream.addFirstByteSample(
				send.firstByteAt - startedAt,
				expectedMs,
				now,
			);
		}

		if (end.type === 'unsent') {
			this.#failedConnections++;
		}

		this.#mayHaveRun ||= send.isSent && end.type !== 'rejected';
		this.#wasBrokenOff ||= end.type === 'broken' || end.type === 'gone';
		const wasOnTrial = upstream.health.isOnTrial;
		upstream.ended(end, startedAt, now);
		if (wasOnTrial && !upstream.health.isOnTrial) {
			this.#context.peers.notices.sendHealth();
		}

		if (lossTypes.has(end.type)) {
			this.#recordLoss(send);
		}
	}

	/** Records once that an engine may not finish the answer of a send, so that runs get replicas while this is likely. */
	#recordLoss(send: Send): void {
		const {route, service} = this.#request;
		if (route.isStream && !this.#lost.has(send)) {
			this.#lost.add(send);
			this.#context.endpoints.losses(service.name).recordLoss(monotonicNow());
		}
	}

	#chooseNextStep({send, end}: DecisiveSend): NextStep {
		const step = nextStep(end, this.#requestState(), () => this.#takeRetry());
		this.#answer = send.answer;
		if (end.type === 'answered' && step.type === 'send') {
			this.#failedAnswer = send.answer;
		}

		if (step.type === 'send' || step.type === 'resume') {
			this.#recordRepeat(end.type, 'reason' in end ? end.reason : '');
		}

		return step;
	}

	/** Records that the request is sent once more: after an end of a send, or beside one to a slow endpoint. */
	#recordRepeat(after: DecisiveEnd['type'] | 'slow', reason: string): void {
		this.#context.metrics.repeated(this.#request.service.name);
		this.#log('repeated', {
			after,
			reason,
			sends: this.#sentCount,
			last_event: this.#position.lastEventId ?? '',
		});
	}

	#giveUp(reason: string, retryAfterMs: number): NextStep {
		if (this.#output.hasSentHeaders) {
			return {type: 'cut', reason};
		}

		if (this.#failedAnswer) {
			return {type: 'deliver failure'};
		}

		return this.#mayHaveRun
			? {type: 'fail', status: 502, reason}
			: {type: 'refuse', reason, retryAfterMs};
	}

	#finish(step: Exclude<NextStep, {type: 'send' | 'resume'}>): void {
		let outcome: string = step.type;
		switch (step.type) {
			case 'deliver': {
				outcome = this.#deliver(this.#answer!);
				break;
			}

			case 'deliver failure': {
				outcome = this.#deliver(this.#failedAnswer!);
				break;
			}

			case 'refuse': {
				sendLocalReply(this.#output, {
					status: 503,
					reason: step.reason,
					retryAfterMs: this.#retryAfterMs(step),
				});
				break;
			}

			case 'fail': {
				sendLocalReply(this.#output, step);
				break;
			}

			case 'cut': {
				this.#output.cut();
				break;
			}

			case 'done': {
				if (this.#isAbandoned) {
					outcome = 'abandoned';
				} else {
					this.#output.end();
					outcome = 'streamed';
				}

				break;
			}
		}

		const now = monotonicNow();
		const summary = {
			request: this.#request,
			outcome,
			sends: this.#sends,
			totalMs: now - this.#request.receivedAt,
			firstByteMs:
				this.#firstByteAt && this.#firstByteAt - this.#request.receivedAt,
		};
		this.#log('ended', {
			outcome,
			reason: 'reason' in step ? step.reason : '',
			sends: this.#sends,
			denials: this.#placement.denials,
			waited_ms: Math.round(this.#placement.waitedMs),
			objective_ms: this.#request.route.objectiveMs,
			gap_target_ms: this.#request.route.gapTargetMs ?? '',
			total_ms: Math.round(summary.totalMs),
			first_byte_ms: Math.round(summary.firstByteMs ?? -1),
			longest_pause_ms: Math.round(this.#longestPauseMs),
			last_event: this.#position.lastEventId ?? '',
			configuration: this.#request.configurationVersion,
		});
		this.#context.metrics.ended(summary);
	}

	/** Retry-After of a refusal, in milliseconds. Return times of callers that lacked capacity are spread already, and have an upper bound. */
	#retryAfterMs({
		reason,
		retryAfterMs,
	}: {
		readonly reason: string;
		readonly retryAfterMs: number;
	}): number {
		return this.#context.contention.isEnabled && reason === noCapacityReason
			? retryAfterMs
			: withJitter(retryAfterMs);
	}

	#deliver(answer: BufferedAnswer): string {
		if (this.#output.isClosed) {
			return 'abandoned';
		}

		const {status, headers, body} = answer;
		const forwardedHeaders = this.#context.format.answerHeaders(headers);
		if (
			this.#request.method !== 'HEAD' &&
			!bodilessStatuses.has(status) &&
			!hasContentLength(headers)
		) {
			forwardedHeaders.push('Content-Length', String(body.length));
		}

		this.#output.send(status, forwardedHeaders, body);
		return `answered ${status}`;
	}

	#requestState(): RequestState {
		const {route} = this.#request;
		return {
			retryMode: route.retryMode,
			sends: this.#sentCount,
			maxSends: route.maxSends,
			failedConnections: this.#failedConnections,
			mayHaveRun: this.#mayHaveRun,
			isPartlyDelivered: this.#output.hasSentHeaders,
			remainingMs: this.#remainingMs(),
			hasFailure: this.#failedAnswer !== undefined,
			hasBackup:
				this.#backup !== undefined &&
				this.#output.hasSentHeaders &&
				this.#position.lastEventId !== undefined,
		};
	}

	/** Sends that may have reached an endpoint, with those in progress. */
	get #sentCount(): number {
		return this.#sends + this.#inProgress.sentCount;
	}

	/** Time at which the request expires, or gets its final answer because the gateway stops. */
	get #endsAt(): number {
		const {answersEndAt = Number.POSITIVE_INFINITY} =
			this.#context.drain() ?? {};
		return Math.min(this.#expiresAt, answersEndAt);
	}

	#remainingMs(): number {
		return Math.max(0, this.#endsAt - monotonicNow());
	}

	#log(event: string, fields: Readonly<Record<string, string | number>>): void {
		const {head, route} = this.#request;
		this.#context.log.info(event, {
			request: head.requestId,
			route: route.name,
			...fields,
		});
	}
}

function isServerError(end: SendEnd): boolean {
	return end.type === 'answered' && end.status >= minServerErrorStatus;
}

function withJitter(ms: number): number {
	return ms * (1 + retryAfterJitter * (Math.random() - 0.5));
}
