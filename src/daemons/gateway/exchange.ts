import type {Disposable} from '../../base/index.js';
import {
	backupFor,
	nextStep,
	patience,
	place,
	prefixLinks,
	type Course,
	type NextStep,
	type PrefixLink,
	type RoomNeed,
	type Assignment,
	type SendEnd,
	type Upstream,
	type Waiting,
	type Work,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../task.js';
import type {CallerOutput} from './caller-output.js';
import type {CallerRequest, ExchangeContext} from './exchange-context.js';
import {sendOwnAnswer} from './own-answer.js';
import type {Keeper} from './peer-exchange.js';
import {isAlive} from './engine-question.js';
import {Send, type HeldAnswer, type StreamPosition} from './send.js';

/** Part of a Retry-After that is random, so that callers do not return together. */
const retryAfterSpread = 0.5;

/** Part of its objective after which a request that found no room is refused. */
const maxWaitObjectivePart = 1;

/** Part of its objective after which a waiting request can hardly meet it: an engine near capacity needs the rest until its first token. */
const lateObjectivePart = 0.5;

/** Longest wait of a request that has been sent before, in milliseconds: its caller may have a part of the answer and gives up after some seconds without more. */
const maxRepeatWaitMs = 1500;

/** When a caller may come back after there was no room, in milliseconds, and as a part of its time left: bursts last for seconds, and a caller waits at most for a third of its time. */
const noRoomRetryMs = 3000;
const noRoomRetryPart = 1 / 3;

/** Assignment to an endpoint, with the work noted there. */
type Placed = {
	readonly type: 'send';
	readonly upstream: Upstream;
	readonly expectedMs: number;
	readonly donor: Upstream | undefined;
	readonly work: Work;
	/** Engine that keeps a copy of the run, to go on with it. */
	readonly resumesAt?: Upstream;
};

/** One request of a caller: places it, follows its sends and answers it. */
export class Exchange implements Disposable {
	readonly #context: ExchangeContext;
	readonly #request: CallerRequest;
	readonly #output: CallerOutput;
	readonly #expiresAt: number;
	readonly #position: StreamPosition;
	readonly #links: readonly PrefixLink[];
	readonly #tried = new Set<Upstream>();
	#send: Send | undefined;
	#sends = 0;
	#failedConnections = 0;
	/** Engines without room, as the gateways that keep their books said. */
	#denials = 0;
	#mayHaveRun = false;
	/** Engine that keeps a copy of the run; undefined when none does or it has been used. */
	#backup: Upstream | undefined;
	#failure: HeldAnswer | undefined;
	#isAbandoned = false;
	#firstByteAt: number | undefined;
	#longestPauseMs = 0;
	/** Time until it was first placed, in milliseconds. */
	#waitedMs = 0;

	constructor(
		context: ExchangeContext,
		request: CallerRequest,
		output: CallerOutput,
	) {
		this.#context = context;
		this.#request = request;
		this.#output = output;
		this.#position = {lastEventId: request.head.lastEventId};
		this.#links = prefixLinks(request.head.prompt?.parts ?? []);
		this.#expiresAt =
			request.receivedAt +
			Math.min(
				request.route.timeoutMs,
				request.head.deadlineMs ?? request.route.timeoutMs,
			);
	}

	/** Handles the request to its end; never rejects. */
	async run(): Promise<void> {
		const {allowance, endpoints} = this.#context;
		const {service, route, head} = this.#request;
		const now = monotonicNow();
		allowance.request(service.name, now);
		endpoints.demand(service.name).note(
			{
				tier: this.#tier,
				objectiveMs: route.objectiveMs,
				timeoutMs: route.timeoutMs,
				outputTokens: head.prompt?.outputTokens ?? 0,
			},
			now,
		);
		const expiry = setTimeout(() => {
			this.#send?.cancel({type: 'expired'});
		}, this.#remainingMs());
		let step: NextStep = {type: 'send'};
		while (step.type === 'send' || step.type === 'resume') {
			step =
				step.type === 'send' ? await this.#sendOnce() : await this.#resume();
		}

		clearTimeout(expiry);
		this.#conclude(step);
	}

	/** The caller has left. A request that may not be repeated runs to its end, so that its outcome does not depend on the moment. */
	dispose(): void {
		this.#isAbandoned = true;
		const {route} = this.#request;
		if (route.isStream || route.repetition !== 'once' || !this.#send?.isSent) {
			this.#send?.cancel({type: 'abandoned'});
		}
	}

	async #sendOnce(): Promise<NextStep> {
		if (this.#isAbandoned) {
			return {type: 'done'};
		}

		if (this.#remainingMs() <= 0) {
			return nextStep({type: 'expired'}, this.#course(), () => false);
		}

		const placed = await this.#placeInTurn();
		switch (placed.type) {
			case 'refuse': {
				const {reason, retryAfterMs} = placed;
				return this.#giveUp(reason, retryAfterMs);
			}

			case 'abandoned': {
				return {type: 'done'};
			}

			case 'send': {
				const end = await this.#perform(placed);
				return this.#follow(end);
			}
		}
	}

	/** Goes on with the copy of the run. */
	async #resume(): Promise<NextStep> {
		const upstream = this.#backup!;
		this.#backup = undefined;
		const now = monotonicNow();
		const {endpoints} = this.#context;
		if (this.#isOver || !endpoints.takesRequests(upstream, now)) {
			return this.#giveUp('the copy of the run is out of reach', 0);
		}

		this.#tried.add(upstream);
		const work = upstream.begin(this.#links, 0, now);
		const expectedMs = 0;
		this.#log('resumed', {
			endpoint: upstream.id,
			last_event: this.#position.lastEventId ?? '',
		});
		const end = await this.#perform({
			type: 'send',
			upstream,
			expectedMs,
			donor: undefined,
			work,
			resumesAt: upstream,
		});
		return this.#follow(end);
	}

	/** Waits until the request is placed, refused or abandoned. */
	async #placeInTurn(): Promise<
		Placed | Extract<Assignment, {type: 'refuse'}> | {type: 'abandoned'}
	> {
		const {room, peers} = this.#context;
		const {route, receivedAt} = this.#request;
		const isFirst = this.#sends === 0;
		const lateAt = isFirst
			? receivedAt + route.objectiveMs * lateObjectivePart
			: Number.POSITIVE_INFINITY;
		const waitUntil = Math.min(
			this.#expiresAt,
			isFirst
				? receivedAt + route.objectiveMs * maxWaitObjectivePart
				: monotonicNow() + maxRepeatWaitMs,
		);
		return new Promise((resolve, reject) => {
			const waiting: Waiting = {
				tier: this.#tier,
				arrivedAt: receivedAt,
				lateAt,
				tryPlace: (now) => {
					if (this.#isAbandoned) {
						resolve({type: 'abandoned'});
						return true;
					}

					if (now >= this.#expiresAt) {
						resolve(noRoom(0));
						return true;
					}

					const assignment = this.#place(now);
					switch (assignment.type) {
						case 'send': {
							const {upstream, uncachedTokens} = assignment;
							const keeper = peers.keeper(upstream, uncachedTokens);
							if (keeper) {
								this.#askRoom(keeper, assignment)
									.then((placed) => {
										if (placed) {
											resolve(placed);
										} else {
											room.enter(waiting);
										}
									})
									.catch(reject);
								return true;
							}

							if (!peers.take(upstream, this.#need(uncachedTokens))) {
								this.#denials++;
								return false;
							}

							resolve(this.#begin(assignment));
							return true;
						}

						case 'refuse': {
							resolve(assignment);
							return true;
						}

						case 'wait': {
							if (now < waitUntil) {
								return false;
							}

							resolve(
								noRoom(
									Math.min(
										noRoomRetryMs,
										this.#remainingMs() * noRoomRetryPart,
									),
								),
							);
							return true;
						}
					}
				},
			};
			room.enter(waiting);
		});
	}

	/** Places the request if the engine has room and somebody still waits for the answer. */
	async #askRoom(
		keeper: Keeper,
		assignment: Extract<Assignment, {type: 'send'}>,
	): Promise<Placed | undefined> {
		const {upstream, uncachedTokens} = assignment;
		const hasRoom = await this.#context.peers.ask(
			keeper,
			upstream,
			this.#need(uncachedTokens),
		);
		if (!hasRoom) {
			this.#denials++;
		}

		// The caller or the endpoint may have left while the answer was on its way.
		await this.#context.lag.catchUp();
		return hasRoom &&
			!this.#isOver &&
			this.#context.endpoints.takesRequests(upstream, monotonicNow())
			? this.#begin(assignment)
			: undefined;
	}

	#need(uncachedTokens: number): RoomNeed {
		const {promptTokens = 0, outputTokens = 0} =
			this.#request.head.prompt ?? {};
		return {
			uncachedTokens,
			memoryTokens: promptTokens + outputTokens,
			rank: this.#rank(monotonicNow()),
		};
	}

	#begin(assignment: Extract<Assignment, {type: 'send'}>): Placed {
		const {upstream, expectedMs, uncachedTokens, donor, home} = assignment;
		const {head} = this.#request;
		this.#tried.add(upstream);
		const now = monotonicNow();
		if (this.#sends === 0) {
			this.#waitedMs = now - this.#request.receivedAt;
		}

		this.#log('placed', {
			endpoint: upstream.id,
			expected_ms: Math.round(expectedMs),
			waited_ms: Math.round(now - this.#request.receivedAt),
			denials: this.#denials,
			shared_part: this.#links.at(-2)?.hash ?? 0,
			home,
			copies_from: donor?.id ?? '',
			prompt_tokens: head.prompt?.promptTokens ?? 0,
			uncached_tokens: Math.round(uncachedTokens),
			unread_tokens: Math.round(upstream.unreadTokens(now)),
			running: Math.round(upstream.running(now) * 10) / 10,
			failing: Math.round(upstream.health.failingPart(now) * 100) / 100,
		});
		const work = upstream.begin(this.#links, uncachedTokens, now);
		this.#context.peers.noteReads(upstream, this.#links.slice(0, -1), false);
		return {type: 'send', upstream, expectedMs, donor, work};
	}

	#place(now: number): Assignment {
		const {endpoints, dataCentre} = this.#context;
		const {head, receivedAt, route, service} = this.#request;
		return place(
			{
				prompt: service.engine ? head.prompt : undefined,
				links: this.#links,
				waitedMs: now - receivedAt,
				tried: this.#tried,
				isOnce: route.repetition === 'once',
				dataCentre,
				objectiveMs: route.objectiveMs,
				rank: this.#rank(now),
			},
			endpoints.serving(service.name, now),
			now,
		);
	}

	async #perform(placed: Placed): Promise<SendEnd> {
		const {upstream, expectedMs, donor, work, resumesAt} = placed;
		const {format, connections, peers, room, notes} = this.#context;
		const {method, target, headers, body, head, route, workspace} =
			this.#request;
		const canSendAgain = this.#sends + 1 < route.maxSends;
		const send = new Send({
			format,
			upstream,
			connections: connections.of(upstream),
			output: this.#output,
			requestId: head.requestId,
			isStream: route.isStream,
			isOnce: route.repetition === 'once',
			position: this.#position,
			isAlive: async () => isAlive(upstream, this.#context),
			onHead(status, answerHead) {
				notes.note(upstream, status, answerHead);
			},
			...patience(route, expectedMs, canSendAgain),
		});
		this.#send = send;
		const startedAt = monotonicNow();
		send.onDidAnswer = () => {
			upstream.answered(work, this.#links);
			peers.noteReads(upstream, this.#links.slice(0, -1), true);
			room.sweepSoon();
		};

		const backup = resumesAt ? undefined : this.#chooseBackup(upstream);
		this.#backup = backup;
		send.start({
			method,
			path: target,
			headers: format.requestHeaders(headers, {
				endpointId: upstream.id,
				deadlineMs: this.#remainingMs(),
				workspace: workspace?.name,
				tier: workspace?.tier ?? route.tier,
				lastEventId: this.#output.isBegun
					? this.#position.lastEventId
					: undefined,
				copyFrom: donor?.listed.address,
				backupAt: backup?.listed.address,
				resumeFrom: resumesAt && {
					address: resumesAt.listed.address,
					requestId: head.requestId,
				},
			}),
			body: body.length > 0 ? body : null,
		});
		const end = await send.ended;
		upstream.end(work);
		this.#note(send, end, placed, startedAt);
		room.sweepSoon();
		return end;
	}

	/** Only a stream that may not be repeated is lost with its engine. */
	#chooseBackup(upstream: Upstream): Upstream | undefined {
		const {endpoints} = this.#context;
		const {head, route, service} = this.#request;
		const now = monotonicNow();
		return head.prompt &&
			route.isStream &&
			route.repetition === 'once' &&
			endpoints.losses(service.name).areLikely(now)
			? backupFor(
					head.prompt,
					upstream,
					endpoints.serving(service.name, now),
					now,
				)
			: undefined;
	}

	/** Updates the course and the beliefs about the endpoint. */
	#note(
		send: Send,
		end: SendEnd,
		{upstream, expectedMs}: Placed,
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
			upstream.timed(send.firstByteAt - startedAt, expectedMs, now);
		}

		if (end.type === 'unsent') {
			this.#failedConnections++;
		}

		this.#mayHaveRun ||= send.isSent && end.type !== 'rejected';
		upstream.ended(end, startedAt, now);
		if (
			this.#request.route.isStream &&
			(end.type === 'broken' || end.type === 'silent')
		) {
			this.#context.endpoints.losses(this.#request.service.name).note(now);
		}
	}

	#follow(end: SendEnd): NextStep {
		const {allowance, gateways} = this.#context;
		const {service} = this.#request;
		const step = nextStep(end, this.#course(), () =>
			allowance.take(service.name, monotonicNow(), gateways()),
		);
		if (end.type === 'answered' && step.type === 'send') {
			this.#failure = this.#send!.answer;
		}

		if (step.type === 'send' || step.type === 'resume') {
			this.#context.metrics.repeated(service.name);
			this.#log('repeated', {
				after: end.type,
				reason: 'reason' in end ? end.reason : '',
				sends: this.#sends,
				last_event: this.#position.lastEventId ?? '',
			});
		}

		return step;
	}

	#giveUp(reason: string, retryAfterMs: number): NextStep {
		if (this.#output.isBegun) {
			return {type: 'cut', reason};
		}

		if (this.#failure) {
			return {type: 'deliver failure'};
		}

		return this.#mayHaveRun
			? {type: 'fail', status: 502, reason}
			: {type: 'refuse', reason, retryAfterMs};
	}

	#conclude(step: Exclude<NextStep, {type: 'send' | 'resume'}>): void {
		let outcome: string = step.type;
		switch (step.type) {
			case 'deliver': {
				outcome = this.#deliver(this.#send!.answer!);
				break;
			}

			case 'deliver failure': {
				outcome = this.#deliver(this.#failure!);
				break;
			}

			case 'refuse': {
				sendOwnAnswer(this.#output, {
					status: 503,
					reason: step.reason,
					retryAfterMs: spread(step.retryAfterMs),
				});
				break;
			}

			case 'fail': {
				sendOwnAnswer(this.#output, step);
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
			denials: this.#denials,
			waited_ms: Math.round(this.#waitedMs),
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

	#deliver(answer: HeldAnswer): string {
		if (this.#output.isClosed) {
			return 'abandoned';
		}

		const {status, headers, body, isUnframed} = answer;
		const passed = this.#context.format.answerHeaders(headers);
		this.#output.send(
			status,
			isUnframed ? passed : withLength(passed, body.length),
			body,
			isUnframed,
		);
		return `answered ${status}`;
	}

	#course(): Course {
		const {route} = this.#request;
		return {
			repetition: route.repetition,
			sends: this.#sends,
			maxSends: route.maxSends,
			failedConnections: this.#failedConnections,
			mayHaveRun: this.#mayHaveRun,
			isPartlyDelivered: this.#output.isBegun,
			remainingMs: this.#remainingMs(),
			hasFailure: this.#failure !== undefined,
			hasBackup:
				this.#backup !== undefined &&
				this.#output.isBegun &&
				this.#position.lastEventId !== undefined,
		};
	}

	/** A workspace's own tier goes before that of the route. An answer that has begun goes on before others begin. */
	get #tier(): number {
		const {route, workspace} = this.#request;
		if (this.#output.isBegun) {
			return 0;
		}

		return workspace?.tier ?? route.tier;
	}

	#rank(now: number): number {
		const {route, service} = this.#request;
		return this.#output.isBegun
			? 0
			: this.#context.endpoints
					.demand(service.name)
					.rank(this.#tier, route.objectiveMs, now);
	}

	/** Nobody waits for the answer any more. */
	get #isOver(): boolean {
		return this.#isAbandoned || this.#remainingMs() === 0;
	}

	#remainingMs(): number {
		return Math.max(0, this.#expiresAt - monotonicNow());
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

function noRoom(retryAfterMs: number): Extract<Assignment, {type: 'refuse'}> {
	return {type: 'refuse', reason: 'no room in time', retryAfterMs};
}

function spread(ms: number): number {
	return ms * (1 + retryAfterSpread * (Math.random() - 0.5));
}

/** Adds the length of a body that came without one. */
function withLength(headers: string[], length: number): string[] {
	const hasLength = headers.some(
		(name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length',
	);
	return hasLength ? headers : [...headers, 'Content-Length', String(length)];
}
