import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {
	DisposableStore,
	toDisposable,
	type Disposable,
	type Event,
} from '../../base/index.js';
import type {
	CallerLimits,
	ConfigurationChange,
	EndpointChange,
	HttpFormat,
	RequestHead,
	Roster,
	WatchedTable,
} from '../../interfaces/index.js';
import {
	admit,
	freshMs,
	PeerLoads,
	RetryAllowance,
	type RetryBounds,
} from '../../services/gateway/index.js';
import {listen} from '../listen.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../task.js';
import {GatewayAdmin} from './admin-server.js';
import {AnswerNotes} from './answer-notes.js';
import {CallerConnections} from './caller-connections.js';
import {CallerOutput} from './caller-output.js';
import {ConnectionDirectory} from './connection-directory.js';
import type {ExchangeContext} from './exchange-context.js';
import {Exchange} from './exchange.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {sendOwnAnswer, type OwnAnswer} from './own-answer.js';
import {LoopLag} from './loop-lag.js';
import {MemoryWatch} from './memory-watch.js';
import {PeerExchange} from './peer-exchange.js';
import {PlatformCopy} from './platform-copy.js';
import {readBody} from './request-body.js';
import {RosterTask} from './roster-task.js';
import {WaitingTask} from './waiting-task.js';

/** Time after the request to stop for which idle connections stay open, in milliseconds: until then the platform still sends new ones. */
const idleCloseDelayMs = 3000;

/** Time after the request to stop for which every request is taken, in milliseconds: the platform needs two missed questions, a second apart, to send callers elsewhere. */
const lastAcceptMs = 2500;

/** Time between two looks at the connections that are left while stopping, in milliseconds. */
const drainPollMs = 50;

/** Time between the last answer's forced end and the end of the grace time, in milliseconds. */
const stopMarginMs = 700;

/** Time for which a connection stays open beyond the idle time that callers are told, in milliseconds. */
const idleMarginMs = 2000;

/** Headers before the configuration is known, in bytes; also the library's own bound. */
const maxHeaderBytes = 64 * 1024;

const startLimits: CallerLimits = {
	maxHeaderBytes: 16 * 1024,
	maxBodyBytes: 4 * 1024 * 1024,
	headerTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};

/** Bounds that may change while the process runs. */
export type GatewayBounds = {
	/** Time after which a key that was removed must no longer be accepted, in milliseconds. */
	readonly revocationMs: number;
	/** Time between the request to stop and the end of the process, in milliseconds. */
	readonly graceMs: number;
	readonly retries: RetryBounds;
};

export type GatewayOptions = GatewayBounds & {
	/** Name of this gateway. */
	readonly instance: string;
	readonly peerAddress: string;
	readonly dataCentre: string;
	readonly callerAddress: string;
	readonly readinessAddress: string;
	/** Path at which readiness is asked for. */
	readonly readinessPath: string;
	readonly format: HttpFormat;
	readonly configuration: WatchedTable<ConfigurationChange>;
	readonly endpoints: WatchedTable<EndpointChange>;
	readonly roster: Roster;
	/** The platform's store has come back from an older copy. */
	readonly onDidRestoreStore: Event<number>;
	readonly log: Log;
	/** Log lines that were dropped. */
	readonly droppedLines: () => number;
	/** Where metrics and state are served; nowhere when absent. */
	readonly admin?: {readonly address: string; readonly metricsPath: string};
};

/** Entry process that sends requests straight to endpoints: owns the caller sockets and keeps copies of the platform's tables. */
export class GatewayDaemon implements Disposable {
	readonly #options: GatewayOptions;
	readonly #store = new DisposableStore();
	readonly #server: Server;
	readonly #callers: CallerConnections;
	readonly #readiness: Server;
	readonly #context: ExchangeContext;
	readonly #platform: PlatformCopy;
	readonly #roster: RosterTask;
	readonly #peers: PeerExchange;
	readonly #memory: MemoryWatch;
	readonly #loopLag = this.#store.add(new LoopLag());
	readonly #room = this.#store.add(new WaitingTask(this.#loopLag));
	readonly #metrics: GatewayMetrics;
	readonly #exchanges = new Set<Exchange>();
	#isDraining = false;
	#drainedAt = 0;
	#bounds: GatewayBounds;

	constructor(options: GatewayOptions) {
		this.#options = options;
		this.#bounds = options;
		this.#metrics = new GatewayMetrics({
			requestsInProgress: () => this.#exchanges.size,
			requestsWaiting: () => this.#room.size,
			configurationVersion: () =>
				this.#platform.routing?.configuration.version ?? 0,
			configurationAgeMs: () => this.#platform.ageMs,
			endpoints: () => this.#platform.endpoints.all().length,
			gateways: () => this.#roster.count,
			droppedLines: options.droppedLines,
		});
		const loads = new PeerLoads();
		this.#platform = this.#store.add(
			new PlatformCopy({
				...options,
				loads,
				metrics: () => this.#metrics,
				neighbours: () => this.#peers,
			}),
		);
		this.#peers = this.#store.add(
			new PeerExchange({
				instance: options.instance,
				address: options.peerAddress,
				endpoints: this.#platform.endpoints,
				loads,
				log: options.log,
				metrics: this.#metrics,
				onDidHear: () => {
					this.#room.sweepSoon();
				},
				onDidMeet: () => {
					this.#roster.readSoon();
				},
				proof: () => this.#platform.proof(),
			}),
		);
		this.#roster = this.#store.add(
			new RosterTask(
				options.roster,
				options.peerAddress,
				options.log,
				(addresses) => {
					this.#peers.setPeers(addresses);
				},
			),
		);
		this.#store.add(
			options.onDidRestoreStore(() => {
				this.#roster.restored();
			}),
		);
		const connections = this.#store.add(new ConnectionDirectory());
		const notes = new AnswerNotes(
			this.#platform.endpoints,
			options.log,
			this.#metrics,
		);
		this.#memory = this.#store.add(
			new MemoryWatch({
				endpoints: this.#platform.endpoints,
				questions: {connections, format: options.format, notes},
				keeps: (upstream) => this.#peers.keeps(upstream),
			}),
		);
		this.#context = {
			dataCentre: options.dataCentre,
			format: options.format,
			endpoints: this.#platform.endpoints,
			connections,
			allowance: new RetryAllowance(options.retries),
			gateways: () => this.#roster.count,
			log: options.log,
			room: this.#room,
			lag: this.#loopLag,
			peers: this.#peers,
			metrics: this.#metrics,
			notes,
		};
		this.#platform.endpoints.onDidLeave(({upstream}) => {
			connections.forget(upstream);
		});
		this.#platform.onDidChangeRouting(({configuration}) => {
			applyLimits(this.#server, configuration.limits);
		});
		this.#server = this.#createCallerServer();
		this.#callers = new CallerConnections(this.#server);
		this.#readiness = createServer((request, response) => {
			const isReady = request.url === options.readinessPath && this.isReady;
			response.writeHead(isReady ? 200 : 503).end();
		});
		this.#store.add(
			toDisposable(() => {
				this.#server.close();
				this.#server.closeAllConnections();
				this.#readiness.close();
				this.#readiness.closeAllConnections();
			}),
		);
	}

	/** New connections are welcome: the configuration is known and young, and no stop has been asked for. */
	get isReady(): boolean {
		return (
			!this.#isDraining &&
			this.#platform.isComplete &&
			this.#platform.ageMs < freshMs * 1.25
		);
	}

	async start(): Promise<void> {
		const {callerAddress, readinessAddress, log} = this.#options;
		await listen(this.#server, callerAddress);
		await listen(this.#readiness, readinessAddress);
		await this.#startAdmin();
		this.#platform.start();
		this.#peers.start();
		this.#memory.start();
		this.#roster.start();
		log.info('started', {caller: callerAddress});
	}

	/** Takes over bounds from changed settings; addresses stay until the next start. */
	reload({revocationMs, graceMs, retries}: GatewayBounds): void {
		this.#bounds = {revocationMs, graceMs, retries};
		this.#context.allowance.bounds = retries;
		this.#options.log.info('reloaded', {
			revocation_ms: revocationMs,
			grace_ms: graceMs,
			retry_slack: retries.slack,
		});
	}

	/** Finishes the answers in progress; resolves when the process may end. */
	async drain(): Promise<void> {
		const {log} = this.#options;
		const {graceMs} = this.#bounds;
		const startedAt = monotonicNow();
		this.#isDraining = true;
		this.#drainedAt = startedAt;
		log.info('draining', {requests: this.#exchanges.size});
		void this.#roster.leave();
		await delay(idleCloseDelayMs);
		const endsAt = startedAt + graceMs - stopMarginMs;
		await this.#closeCallers(endsAt);
		// A connection that is accepted now would be cut when the process ends.
		this.#server.close();
		await this.#closeCallers(endsAt);
		log.info('stopped', {
			requests: this.#exchanges.size,
			ms: Math.round(monotonicNow() - startedAt),
		});
	}

	dispose(): void {
		this.#store.dispose();
	}

	/** Closes connections as they become idle, until none is left or the time is over. */
	async #closeCallers(endsAt: number): Promise<void> {
		this.#callers.closeIdle();
		while (this.#callers.size > 0 && monotonicNow() < endsAt) {
			await delay(drainPollMs);
			this.#callers.closeIdle();
		}
	}

	/** Time until the process ends, once callers have had time to go elsewhere; a request that needs longer would be cut. */
	#endsInMs(): number | undefined {
		const elapsedMs = monotonicNow() - this.#drainedAt;
		return this.#isDraining && elapsedMs > lastAcceptMs
			? this.#bounds.graceMs - stopMarginMs - elapsedMs
			: undefined;
	}

	async #startAdmin(): Promise<void> {
		const {admin} = this.#options;
		if (admin) {
			const server = this.#store.add(
				new GatewayAdmin({
					...admin,
					metrics: async () => this.#metrics.text(),
					state: () => this.#state(),
				}),
			);
			await server.start();
		}
	}

	/** What the process believes, for people on call. */
	#state(): unknown {
		const now = monotonicNow();
		return {
			isReady: this.isReady,
			isDraining: this.#isDraining,
			configuration: this.#platform.routing?.configuration.version,
			configurationAgeMs: Math.round(this.#platform.ageMs),
			storeEra: this.#platform.era,
			gateways: this.#roster.count,
			requests: this.#exchanges.size,
			waiting: this.#room.size,
			endpoints: this.#platform.endpoints.all().map((upstream) => ({
				...upstream.listed,
				ownRunning: upstream.ownRunning,
				running: upstream.running(now),
				unreadTokens: upstream.unreadTokens(now),
				slowness: upstream.slowness(now),
				failingPart: upstream.health.failingPart(now),
				blockedMs: upstream.health.blockedMs(now),
				isOnTrial: upstream.health.isOnTrial,
				stepMs: upstream.step.ms,
				isLeaving: upstream.isLeaving,
				restsMs: Math.max(0, upstream.restsUntil - now),
			})),
		};
	}

	#createCallerServer(): Server {
		const server = createServer(
			{
				maxHeaderSize: maxHeaderBytes,
				requestTimeout: 0,
				connectionsCheckingInterval: 1000,
			},
			(request, response) => {
				void this.#onRequest(request, response);
			},
		);
		applyLimits(server, startLimits);
		return server;
	}

	async #onRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		if (request.socket.writableEnded) {
			// The request crossed the close of an idle connection: it could not be answered.
			request.socket.destroy();
			return;
		}

		const receivedAt = monotonicNow();
		const output = new CallerOutput(response);
		const limits = this.#platform.routing?.configuration.limits ?? startLimits;
		const body = await readBody(request, limits.maxBodyBytes);
		await this.#loopLag.catchUp();
		if (request.socket.destroyed) {
			this.#options.log.info('caller_left', {
				request: this.#options.format.readRequest(request.rawHeaders).requestId,
			});
			return;
		}

		if (this.#isDraining) {
			output.closeAfterwards();
		}

		switch (body.type) {
			case 'aborted': {
				return;
			}

			case 'too large': {
				sendOwnAnswer(output, {
					status: 413,
					reason: 'body too large',
					closes: true,
				});
				return;
			}

			case 'whole': {
				break;
			}
		}

		const {method = 'GET', url = '/', rawHeaders} = request;
		const head = this.#options.format.readRequest(rawHeaders);
		const {routing, ageMs} = this.#platform;
		const {revocationMs} = this.#bounds;
		const admission = admit(request.headers.host ?? '', url, head, {
			routing,
			ageMs,
			revocationMs,
			endsInMs: this.#endsInMs(),
		});
		switch (admission.type) {
			case 'rejected': {
				this.#reject(head, output, admission);
				break;
			}

			case 'deferred': {
				this.#reject(head, output, {...admission, status: 503, closes: true});
				break;
			}

			case 'admitted': {
				const {route, service, workspace} = admission;
				const exchange = new Exchange(
					this.#context,
					{
						method,
						target: url,
						headers: rawHeaders,
						body: body.bytes,
						head,
						route,
						service,
						workspace,
						receivedAt,
						configurationVersion: routing?.configuration.version ?? 0,
					},
					output,
				);
				response.once('close', () => {
					if (!response.writableFinished) {
						exchange.dispose();
					}
				});
				await this.#run(exchange, output);
				break;
			}
		}
	}

	/** A defect in the handling of one request must not end the process and all others. */
	async #run(exchange: Exchange, output: CallerOutput): Promise<void> {
		this.#exchanges.add(exchange);
		try {
			await exchange.run();
		} catch (error) {
			this.#options.log.warn('exchange_failed', {
				reason: error instanceof Error ? (error.stack ?? '') : String(error),
			});
			output.cut();
		} finally {
			this.#exchanges.delete(exchange);
		}
	}

	#reject(head: RequestHead, output: CallerOutput, answer: OwnAnswer): void {
		this.#options.log.info('rejected', {
			request: head.requestId,
			status: answer.status,
			reason: answer.reason,
			configuration: this.#platform.routing?.configuration.version ?? '',
			configuration_age_ms: Math.round(this.#platform.ageMs),
		});
		this.#metrics.rejected(answer.status);
		sendOwnAnswer(output, answer);
	}
}

function applyLimits(server: Server, limits: CallerLimits): void {
	server.headersTimeout = limits.headerTimeoutMs;
	server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
}

async function delay(ms: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}
