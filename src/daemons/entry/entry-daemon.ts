import type {ServerResponse} from 'node:http';
import {DisposableStore, Random, type Disposable} from '../../base/index.js';
import type {Profile} from '../../interfaces/index.js';
import {
	Entry,
	type EntryEffect,
	type EntryMessage,
} from '../../services/index.js';
import {DaemonCore, type DaemonOptions} from '../daemon-core.js';
import {PeerKeys} from '../link/index.js';
import {monotonicNow, StateMachineRunner} from '../state-machine.js';
import {AnswerTimes} from './answer-times.js';
import {Answer} from './answer.js';
import {CallerServer} from './caller-server.js';
import type {ParsedRequest} from './caller-request.js';
import {textOf} from './completion.js';
import {SidecarLinks} from './sidecar-links.js';
import type {RequestRoute} from './request-route.js';

const gaugeIntervalMs = 1000;

type OpenAnswer = {
	readonly answer: Answer;
	readonly times: AnswerTimes;
	/** Undefined when a caller resumes an earlier answer. */
	readonly profile: Profile | undefined;
};

/** Runs the entry process: owns the caller and admin sockets and the links to sidecars, and executes the effects of `Entry`. */
export class EntryDaemon implements Disposable {
	readonly #options: DaemonOptions;
	readonly #store = new DisposableStore();
	readonly #core: DaemonCore;
	readonly #answers = new Map<string, OpenAnswer>();
	/** Endpoints whose link failure has been logged, so that only changes are logged. */
	readonly #failingPeers = new Set<string>();
	/** Open responses to status queries, by query id. */
	readonly #queries = new Map<string, ServerResponse>();
	readonly #server: CallerServer;
	readonly #links: SidecarLinks;
	readonly #runner: StateMachineRunner<EntryMessage, EntryEffect>;

	constructor(options: DaemonOptions) {
		this.#options = options;
		const {process, peers, limits} = options.settings;
		this.#core = this.#store.add(
			new DaemonCore(options, {
				dump: () => ({
					entry: this.#runner.dump(),
					links: this.#links.size,
					bodyBytes: this.#server.bodyBytes,
				}),
				onDidChange: () => undefined,
				leave: () => {
					this.#server.leave();
					this.#runner.post({type: 'leave'});
				},
				onTableAnswer: (id, answer) => {
					this.#runner.post({type: 'table', id, answer});
				},
			}),
		);
		this.#links = this.#store.add(
			new SidecarLinks({
				keys: new PeerKeys([peers.key, peers.previous_key]),
				localHello: () => this.#core.hello,
				idleMs: limits.link_idle_ms,
			}),
		);
		const entry = new Entry({
			locality: {dataCentre: process.data_centre, region: process.region},
			random: new Random(options.seed),
			textOf,
			epochMs: Date.now() - monotonicNow(),
		});
		this.#runner = this.#store.add(
			new StateMachineRunner(entry, (effect) => {
				this.#applyEffect(effect);
			}),
		);
		this.#server = this.#store.add(
			new CallerServer({
				catalogue: this.#core.catalogue,
				limits,
				log: this.#core.log,
				isReady: () => this.#core.isReady,
				onRequest: (parsed, response) => {
					this.#onRequest(parsed, response);
				},
				onRoute: (route, response) => {
					this.#onRoute(route, response);
				},
			}),
		);
		this.#connectLinks();
		this.#store.add(
			this.#core.repeat(gaugeIntervalMs, () => {
				this.#updateGauges();
			}),
		);
	}

	/** Opens the admin and caller addresses; rejects when one cannot be used. Resolves to the caller port. */
	async start(): Promise<number> {
		const {addresses} = this.#options.settings;
		await this.#core.start();
		const port = await this.#server.listen(addresses.caller!);
		this.#core.log.info('started', {port});
		return port;
	}

	/** Stops accepting new requests; resolves when no response is in progress any more. */
	async drain(): Promise<void> {
		await this.#core.drain();
		await this.#server.idle();
	}

	dispose(): void {
		this.#store.dispose();
	}

	#connectLinks(): void {
		this.#links.onDidOpen(({endpoint, incarnation}) => {
			if (this.#failingPeers.delete(endpoint)) {
				this.#core.log.info('peer_back', {endpoint});
			}

			this.#runner.post({type: 'linkUp', endpoint, incarnation});
		});
		this.#links.onDidLose(({endpoint}) => {
			this.#core.metrics.count('links_closed', 1);
			this.#runner.post({type: 'linkLost', endpoint});
		});
		this.#links.onDidReceive(({endpoint, message}) => {
			this.#runner.post({type: 'peer', endpoint, message});
		});
		this.#links.onDidReject(({endpoint, reason}) => {
			this.#core.metrics.count('peer_errors', 1);
			if (!this.#failingPeers.has(endpoint)) {
				this.#failingPeers.add(endpoint);
				this.#core.log.warn('peer_failing', {endpoint, reason});
			}
		});
	}

	#onRequest({request, answer}: ParsedRequest, response: ServerResponse): void {
		this.#addAnswer(response, answer, request.id, request.profile);
		this.#runner.post({type: 'request', request});
	}

	#onRoute(route: RequestRoute, response: ServerResponse): void {
		if (route.type === 'events') {
			this.#addAnswer(response, 'stream', route.id, undefined);
		} else {
			this.#queries.set(route.id, response);
			response.once('close', () => {
				this.#queries.delete(route.id);
			});
		}

		this.#runner.post(route);
	}

	#addAnswer(
		response: ServerResponse,
		form: ParsedRequest['answer'],
		requestId: string,
		profile: Profile | undefined,
	): void {
		const answer = new Answer(response, {
			form,
			requestId,
			maxPendingSize: this.#options.settings.limits.answer_bytes,
			onDidAcknowledge: (upTo) => {
				this.#runner.post({type: 'acknowledged', requestId, upTo});
			},
		});
		const times = new AnswerTimes();
		this.#answers.set(requestId, {answer, times, profile});
		response.once('close', () => {
			if (this.#answers.delete(requestId)) {
				this.#core.metrics.count('callers_gone', 1);
				this.#runner.post({type: 'callerGone', requestId});
			}
		});
	}

	#applyEffect(effect: EntryEffect): void {
		switch (effect.type) {
			case 'send': {
				this.#links.send(effect.endpoint, effect.address, effect.message);
				break;
			}

			case 'head': {
				this.#answers.get(effect.requestId)?.answer.head(effect);
				break;
			}

			case 'chunk': {
				const open = this.#answers.get(effect.requestId);
				open?.times.chunk(effect.eventId);
				open?.answer.chunk(effect);
				break;
			}

			case 'end': {
				this.#end(effect);
				break;
			}

			case 'status': {
				this.#sendStatus(effect);
				break;
			}

			case 'count':
			case 'timing':
			case 'log':
			case 'table':
			case 'drained': {
				this.#core.applyEffect(effect);
				break;
			}
		}
	}

	#end(effect: Extract<EntryEffect, {type: 'end'}>): void {
		const open = this.#answers.get(effect.requestId);
		if (open) {
			this.#answers.delete(effect.requestId);
			open.answer.end(effect);
			if (open.profile) {
				open.times.report(this.#core.metrics, open.profile, effect.outcome);
			}
		}
	}

	#sendStatus({id, status}: Extract<EntryEffect, {type: 'status'}>): void {
		const response = this.#queries.get(id);
		response?.writeHead(status.state === 'unknown' ? 404 : 200, {
			'content-type': 'application/json',
		});
		response?.end(
			JSON.stringify({
				state: status.state,
				outcome: status.outcome ?? null,
				event_id: status.eventId ?? null,
			}),
		);
	}

	#updateGauges(): void {
		this.#core.metrics.gauge('requests_in_progress', this.#answers.size);
		this.#core.metrics.gauge('links', this.#links.size);
		this.#core.metrics.gauge('body_bytes', this.#server.bodyBytes);
	}
}
