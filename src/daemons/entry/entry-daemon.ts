import {randomUUID} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {DisposableStore, Random, type Disposable} from '../../base/index.js';
import {
	callTable,
	type InstanceList,
	type Settings,
	type Table,
} from '../../platform/index.js';
import {
	Catalogue,
	Entry,
	type EntryEffect,
	type EntryMessage,
} from '../../services/index.js';
import {AdminServer} from '../admin/index.js';
import {ConfigPoller} from '../config-poller.js';
import {listen} from '../listen.js';
import {logEvent} from '../log.js';
import {Metrics} from '../metrics.js';
import {monotonicNow, Task} from '../task.js';
import {Answer} from './answer.js';
import {ApiError, errorBody} from './api-error.js';
import {
	authenticate,
	parseModelRequest,
	parseServiceRequest,
	readBody,
	requireIdempotencyKey,
	type ParsedRequest,
} from './caller-request.js';
import {textOf} from './completion.js';
import {parseRequestRoute} from './request-route.js';
import {SidecarLinks} from './links.js';

export type EntryDaemonOptions = {
	readonly settings: Settings;
	readonly table: Table;
	readonly instances: InstanceList;
	readonly seed: number;
};

/** The entry process: owns the caller and admin sockets and the links to sidecars. */
export class EntryDaemon implements Disposable {
	readonly #options: EntryDaemonOptions;
	readonly #store = new DisposableStore();
	readonly #incarnation = randomUUID();
	readonly #catalogue = new Catalogue();
	readonly #metrics = new Metrics();
	readonly #answers = new Map<string, Answer>();
	readonly #queries = new Map<string, ServerResponse>();
	readonly #server: Server;
	readonly #links: SidecarLinks;
	readonly #task: Task<EntryMessage, EntryEffect>;
	readonly #admin: AdminServer;
	readonly #poller: ConfigPoller;
	readonly #drained: Promise<void>;
	#resolveDrained: () => void = () => undefined;
	#ready = false;
	#leaving = false;

	constructor(options: EntryDaemonOptions) {
		this.#options = options;
		const {process, peers} = options.settings;
		this.#drained = new Promise((resolve) => {
			this.#resolveDrained = resolve;
		});
		this.#links = this.#store.add(
			new SidecarLinks(peers.key, () => ({
				instance: process.instance,
				role: 'entry',
				incarnation: this.#incarnation,
				dataCentre: process.data_centre,
				revision: 0,
			})),
		);
		const entry = new Entry({
			place: {dataCentre: process.data_centre, region: process.region},
			random: new Random(options.seed),
			textOf,
			epochMs: Date.now() - monotonicNow(),
		});
		this.#task = this.#store.add(
			new Task(entry, (effect) => {
				this.#carryOut(effect);
			}),
		);
		this.#connectLinks();
		this.#poller = this.#store.add(
			new ConfigPoller({
				table: options.table,
				instances: options.instances,
				catalogue: this.#catalogue,
				onDidRead: () => {
					this.#ready = true;
				},
			}),
		);
		this.#admin = this.#store.add(
			new AdminServer({
				dump: () => this.dump(),
				isReady: () => this.#ready && !this.#leaving,
				drain: () => {
					void this.drain();
				},
			}),
		);
		this.#server = createServer((request, response) => {
			void this.#onRequest(request, response);
		});
	}

	/** Opens the admin and caller addresses; rejects when one cannot be used. Resolves to the caller port. */
	async start(): Promise<number> {
		const {addresses, process} = this.#options.settings;
		await this.#poller.read();
		await this.#admin.listen(addresses.admin);
		const port = await listen(this.#server, addresses.caller!);
		logEvent('entry_started', {instance: process.instance, port});
		return port;
	}

	/** Takes no new requests; resolves when the last one in progress has ended. */
	async drain(): Promise<void> {
		if (!this.#leaving) {
			this.#leaving = true;
			logEvent('entry_draining', {requests: this.#answers.size});
			this.#server.close();
			this.#server.closeIdleConnections();
			this.#task.post({type: 'leave'});
		}

		return this.#drained;
	}

	dump(): unknown {
		return {
			instance: this.#options.settings.process.instance,
			incarnation: this.#incarnation,
			entry: this.#task.dump(),
			metrics: this.#metrics.dump(),
		};
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
		this.#store.dispose();
	}

	#connectLinks(): void {
		this.#links.onDidOpen(({endpoint, incarnation}) => {
			this.#task.post({type: 'linkUp', endpoint, incarnation});
		});
		this.#links.onDidLose(({endpoint}) => {
			this.#task.post({type: 'linkLost', endpoint});
		});
		this.#links.onDidReceive(({endpoint, message}) => {
			this.#task.post({type: 'peer', endpoint, message});
		});
	}

	async #onRequest(
		message: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const id = `req-${randomUUID()}`;
		if (this.#leaving) {
			response.setHeader('connection', 'close');
		}

		try {
			const path = (message.url ?? '/').split('?', 1)[0]!;
			if (message.method === 'GET' && path === '/healthz') {
				response.end('ok\n');
			} else if (message.method === 'GET' && path === '/readyz') {
				const ready = this.#ready && !this.#leaving;
				response
					.writeHead(ready ? 200 : 503)
					.end(ready ? 'ready\n' : 'not ready\n');
			} else if (message.method === 'GET' && path === '/v1/models') {
				this.#sendModels(message, response);
			} else if (path.startsWith('/v1/requests/')) {
				this.#onRequestRoute(message, response, id);
			} else {
				const body = await readBody(message);
				this.#route(this.#parse(message, body, id), response);
			}
		} catch (error) {
			this.#sendError(error, response, id);
		}
	}

	#parse(
		message: IncomingMessage,
		body: Awaited<ReturnType<typeof readBody>>,
		id: string,
	): ParsedRequest {
		const url = message.url ?? '/';
		if (url.startsWith('/services/')) {
			return parseServiceRequest(message, body, this.#catalogue, id);
		}

		const path = url.split('?', 1)[0];
		if (
			message.method === 'POST' &&
			(path === '/v1/chat/completions' || path === '/v1/completions')
		) {
			return parseModelRequest(message, body, this.#catalogue, id);
		}

		throw new ApiError(404, 'not_found', `no ${message.method} ${path} here`);
	}

	#route(parsed: ParsedRequest, response: ServerResponse): void {
		const {request} = parsed;
		requireIdempotencyKey(request);
		this.#addAnswer(response, parsed.answer, request.id);
		this.#task.post({type: 'request', request});
	}

	#onRequestRoute(
		message: IncomingMessage,
		response: ServerResponse,
		id: string,
	): void {
		const route = parseRequestRoute(message, this.#catalogue, id);
		if (!route) {
			throw new ApiError(404, 'not_found', `no ${message.method} here`);
		}

		if (route.type === 'events') {
			this.#addAnswer(response, 'stream', id);
		} else {
			this.#queries.set(id, response);
			response.once('close', () => {
				this.#queries.delete(id);
			});
		}

		this.#task.post(route);
	}

	#addAnswer(
		response: ServerResponse,
		form: ParsedRequest['answer'],
		requestId: string,
	): void {
		const answer = new Answer(response, form, requestId, (upTo) => {
			this.#task.post({type: 'taken', requestId, upTo});
		});
		this.#answers.set(requestId, answer);
		response.once('close', () => {
			if (this.#answers.delete(requestId)) {
				this.#task.post({type: 'callerGone', requestId});
			}
		});
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

	#carryOut(effect: EntryEffect): void {
		switch (effect.type) {
			case 'send': {
				this.#links.send(effect.endpoint, effect.address, effect.message);
				break;
			}

			case 'head': {
				this.#answers.get(effect.requestId)?.head(effect);
				break;
			}

			case 'chunk': {
				this.#answers.get(effect.requestId)?.chunk(effect);
				break;
			}

			case 'end': {
				const answer = this.#answers.get(effect.requestId);
				this.#answers.delete(effect.requestId);
				answer?.end(effect.outcome, effect.failure);
				this.#metrics.count('requests', 1, {outcome: effect.outcome});
				break;
			}

			case 'count': {
				this.#metrics.count(effect.name, effect.value, effect.tags);
				break;
			}

			case 'timing': {
				break;
			}

			case 'log': {
				logEvent(effect.event, effect.fields);
				break;
			}

			case 'table': {
				void this.#callTable(effect);
				break;
			}

			case 'status': {
				this.#sendStatus(effect);
				break;
			}

			case 'drained': {
				this.#resolveDrained();
				break;
			}
		}
	}

	async #callTable(
		effect: Extract<EntryEffect, {type: 'table'}>,
	): Promise<void> {
		const answer = await callTable(this.#options.table, effect.call);
		this.#task.post({type: 'table', id: effect.id, answer});
	}

	#sendModels(message: IncomingMessage, response: ServerResponse): void {
		authenticate(message, this.#catalogue);
		const data = this.#catalogue.models().map((id) => ({
			id,
			object: 'model',
			created: 0,
			owned_by: 'cicadaswitch',
		}));
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({object: 'list', data}));
	}

	#sendError(error: unknown, response: ServerResponse, id: string): void {
		const {status, code, message} =
			error instanceof ApiError
				? error
				: {
						status: 500,
						code: 'internal_error',
						message: 'the entry failed to handle the request',
					};
		if (response.headersSent || response.destroyed) {
			response.destroy();
			return;
		}

		response.writeHead(status, {
			'content-type': 'application/json',
			'x-request-id': id,
			'x-cicadaswitch-outcome': 'not_run',
			'x-should-retry': 'false',
		});
		response.end(errorBody(status, code, message));
		if (!(error instanceof ApiError)) {
			logEvent('request_error', {id, error: String(error)});
		}
	}
}
