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
} from '../../base/index.js';
import type {
	CallerLimits,
	ConfigurationChange,
	EndpointChange,
	HttpFormat,
	KeyHolder,
	Roster,
	WatchedTable,
} from '../../interfaces/index.js';
import {
	Confirmation,
	EndpointSet,
	PeerLoads,
	RetryAllowance,
	RoutingTable,
	WaitingRoom,
	type RetryBounds,
} from '../../services/gateway/index.js';
import {listen} from '../listen.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../task.js';
import {GatewayAdmin} from './admin-server.js';
import {CallerConnections} from './caller-connections.js';
import {CallerOutput} from './caller-output.js';
import {readClocks} from './clocks.js';
import {ConnectionDirectory} from './connection-directory.js';
import {Exchange, type ExchangeContext} from './exchange.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {sendOwnAnswer, type OwnAnswer} from './own-answer.js';
import {PeerExchange} from './peer-exchange.js';
import {readBody} from './request-body.js';
import {RosterTask} from './roster-task.js';
import {TableWatch} from './table-watch.js';

/** Time that a feed of the configuration waits for a change, in milliseconds; also how often the copy is confirmed. */
const configurationWaitMs = 1000;

/** Time between two reads of the endpoints' feed, in milliseconds; a leaving endpoint must be known well within 2 s. */
const endpointPauseMs = 700;

/** Age of the configuration above which an unknown route or key may be a newer one, in milliseconds. */
const freshMs = 2000;

/** Part of the revocation bound for which keys are accepted without confirmation. */
const keyAgePart = 0.8;

/** When a caller may come back to another gateway, in milliseconds. */
const elsewhereRetryAfterMs = 200;

/** When a caller may come back to a gateway that is starting, in milliseconds. */
const startRetryAfterMs = 500;

/** Time after the request to stop for which idle connections stay open, in milliseconds: until then the platform still sends new ones. */
const idleCloseDelayMs = 3000;

/** Time between two looks at the connections that are left while stopping, in milliseconds. */
const drainPollMs = 50;

/** Time between the last answer's forced end and the end of the grace time, in milliseconds. */
const stopMarginMs = 700;

/** Time for which a connection stays open beyond the idle time that callers are told, in milliseconds. */
const idleMarginMs = 2000;

/** Time after which waiting requests are looked at again, in milliseconds. */
const sweepPeriodMs = 40;

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
	readonly log: Log;
	/** Log lines that were dropped. */
	readonly droppedLines: () => number;
	/** Where metrics and state are served; nowhere when absent. */
	readonly admin?: {readonly address: string; readonly metricsPath: string};
};

/** Outcome of the checks on a request before it is placed. */
type Admission =
	| {readonly type: 'admitted'; readonly exchange: Exchange}
	| {readonly type: 'rejected'; readonly answer: OwnAnswer};

/** Entry process that sends requests straight to endpoints: owns the caller sockets and keeps copies of the platform's tables. */
export class GatewayDaemon implements Disposable {
	readonly #options: GatewayOptions;
	readonly #store = new DisposableStore();
	readonly #server: Server;
	readonly #callers: CallerConnections;
	readonly #readiness: Server;
	readonly #context: ExchangeContext;
	readonly #endpoints: EndpointSet;
	readonly #confirmation = new Confirmation();
	readonly #roster: RosterTask;
	readonly #peers: PeerExchange;
	readonly #room = new WaitingRoom();
	#sweepTimer: NodeJS.Timeout | undefined;
	readonly #metrics: GatewayMetrics;
	readonly #exchanges = new Set<Exchange>();
	#routing: RoutingTable | undefined;
	#hasEndpoints = false;
	#isDraining = false;
	#bounds: GatewayBounds;
	readonly #unreadable = new Map<string, string>();

	constructor(options: GatewayOptions) {
		this.#options = options;
		this.#bounds = options;
		this.#metrics = new GatewayMetrics({
			requestsInProgress: () => this.#exchanges.size,
			requestsWaiting: () => this.#room.size,
			configurationVersion: () => this.#routing?.configuration.version ?? 0,
			configurationAgeMs: () => this.#configurationAgeMs(),
			endpoints: () => this.#endpoints.all().length,
			gateways: () => this.#roster.count,
			droppedLines: options.droppedLines,
		});
		const loads = new PeerLoads();
		this.#endpoints = new EndpointSet(
			(name) => this.#routing?.service(name),
			loads,
		);
		this.#peers = this.#store.add(
			new PeerExchange({
				instance: options.instance,
				address: options.peerAddress,
				endpoints: this.#endpoints,
				loads,
				log: options.log,
				onDidHear: () => {
					this.#sweep();
				},
			}),
		);
		this.#roster = this.#store.add(
			new RosterTask(options.roster, options.log, (addresses) => {
				this.#peers.setPeers(addresses);
			}),
		);
		const connections = this.#store.add(new ConnectionDirectory());
		this.#context = {
			dataCentre: options.dataCentre,
			format: options.format,
			endpoints: this.#endpoints,
			connections,
			allowance: new RetryAllowance(options.retries),
			gateways: () => this.#roster.count,
			log: options.log,
			room: this.#room,
			noteReads: (endpoint, links, isDone) => {
				this.#peers.noteReads(endpoint, links, isDone);
			},
			sweep: () => {
				this.#sweep();
			},
			metrics: this.#metrics,
		};
		this.#followEndpoints(connections);
		this.#watchTables();
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
			this.#routing !== undefined &&
			this.#hasEndpoints &&
			this.#configurationAgeMs() < freshMs * 1.25
		);
	}

	async start(): Promise<void> {
		const {callerAddress, readinessAddress, log} = this.#options;
		await listen(this.#server, callerAddress);
		await listen(this.#readiness, readinessAddress);
		await this.#startAdmin();
		this.#peers.start();
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
		log.info('draining', {requests: this.#exchanges.size});
		void this.#roster.leave();
		await delay(idleCloseDelayMs);
		this.#callers.closeIdle();
		while (
			this.#callers.size > 0 &&
			monotonicNow() - startedAt < graceMs - stopMarginMs
		) {
			await delay(drainPollMs);
			this.#callers.closeIdle();
		}

		log.info('stopped', {
			requests: this.#exchanges.size,
			ms: Math.round(monotonicNow() - startedAt),
		});
	}

	dispose(): void {
		this.#store.dispose();
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
			configuration: this.#routing?.configuration.version,
			configurationAgeMs: Math.round(this.#configurationAgeMs()),
			gateways: this.#roster.count,
			requests: this.#exchanges.size,
			waiting: this.#room.size,
			endpoints: this.#endpoints.all().map((upstream) => ({
				...upstream.listed,
				ownRunning: upstream.ownRunning,
				running: upstream.running(now),
				unreadTokens: upstream.unreadTokens(now),
				slowness: upstream.slowness(now),
				failingPart: upstream.health.failingPart(now),
				blockedMs: upstream.health.blockedMs(now),
				isOnTrial: upstream.health.isOnTrial,
			})),
		};
	}

	/** Places waiting requests; comes back while some are left, because load falls also without an event here. */
	#sweep(): void {
		this.#room.sweep(monotonicNow());
		if (this.#room.size > 0 && this.#sweepTimer === undefined) {
			this.#sweepTimer = setTimeout(() => {
				this.#sweepTimer = undefined;
				this.#sweep();
			}, sweepPeriodMs);
		}
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

	#watchTables(): void {
		const {configuration, endpoints, log} = this.#options;
		const contact = (table: string) => (reason: string | undefined) => {
			if (reason === undefined) {
				log.info('store_regained', {table});
			} else {
				log.warn('store_lost', {
					table,
					reason,
					configuration_age_ms: Math.round(this.#configurationAgeMs()),
				});
			}
		};

		const configurationWatch = this.#store.add(
			new TableWatch<ConfigurationChange>({
				table: configuration,
				waitMs: configurationWaitMs,
				pauseMs: 0,
				onList: (changes) => {
					for (const change of changes) {
						this.#onConfiguration(change);
					}
				},
				onChange: (change) => {
					this.#onConfiguration(change);
				},
				onAnswer: (sentAt) => {
					this.#metrics.storeCall('configuration', 'answered');
					this.#confirmation.confirm(sentAt);
				},
				onFailure: () => {
					this.#metrics.storeCall('configuration', 'failed');
				},
				onContact: contact('configuration'),
			}),
		);
		const endpointWatch = this.#store.add(
			new TableWatch<EndpointChange>({
				table: endpoints,
				waitMs: 0,
				pauseMs: endpointPauseMs,
				onList: (changes, isAfterOutage) => {
					this.#noteUnreadable(changes);
					this.#endpoints.replace(changes, monotonicNow(), isAfterOutage);
					this.#hasEndpoints = true;
				},
				onChange: (change) => {
					this.#noteUnreadable([change]);
					this.#endpoints.apply(change, monotonicNow());
				},
				onAnswer: () => {
					this.#metrics.storeCall('endpoints', 'answered');
				},
				onFailure: () => {
					this.#metrics.storeCall('endpoints', 'failed');
				},
				onContact: contact('endpoints'),
			}),
		);
		configurationWatch.start();
		endpointWatch.start();
	}

	#onConfiguration(change: ConfigurationChange): void {
		const {log} = this.#options;
		switch (change.type) {
			case 'unreadable': {
				log.warn('configuration_unreadable', {reason: change.reason});
				break;
			}

			case 'configuration': {
				const {configuration} = change;
				const known = this.#routing?.configuration.version ?? -1;
				if (configuration.version <= known) {
					break;
				}

				this.#routing = new RoutingTable(configuration);
				applyLimits(this.#server, configuration.limits);
				log.info('configuration', {
					version: configuration.version,
					before: known,
					routes: configuration.routes.length,
					workspaces: configuration.workspaces.length,
				});
				break;
			}
		}
	}

	#followEndpoints(connections: ConnectionDirectory): void {
		const {log} = this.#options;
		this.#endpoints.onDidAdd((upstream) => {
			log.info('endpoint_added', {
				endpoint: upstream.id,
				service: upstream.listed.service,
				address: upstream.listed.address,
			});
		});
		this.#endpoints.onDidDrain((upstream) => {
			log.info('endpoint_draining', {endpoint: upstream.id});
		});
		this.#endpoints.onDidLeave(({upstream, why}) => {
			connections.forget(upstream);
			log.info('endpoint_left', {endpoint: upstream.id, why});
		});
	}

	/** One line for each damaged entry, not one for each time that it is read. */
	#noteUnreadable(changes: readonly EndpointChange[]): void {
		for (const change of changes) {
			if (change.type !== 'unreadable') {
				continue;
			}

			if (this.#unreadable.get(change.id) !== change.reason) {
				this.#unreadable.set(change.id, change.reason);
				this.#options.log.warn('endpoint_unreadable', {
					endpoint: change.id,
					reason: change.reason,
				});
			}
		}
	}

	async #onRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const receivedAt = monotonicNow();
		const output = new CallerOutput(response);
		const limits = this.#routing?.configuration.limits ?? startLimits;
		const body = await readBody(request, limits.maxBodyBytes);
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

		const admission = this.#admit(request, output, receivedAt, body.bytes);
		switch (admission.type) {
			case 'rejected': {
				this.#reject(request, output, admission.answer);
				break;
			}

			case 'admitted': {
				const {exchange} = admission;
				this.#exchanges.add(exchange);
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

	#reject(
		request: IncomingMessage,
		output: CallerOutput,
		answer: OwnAnswer,
	): void {
		const head = this.#options.format.readRequest(request.rawHeaders);
		this.#options.log.info('rejected', {
			request: head.requestId,
			status: answer.status,
			reason: answer.reason,
			configuration: this.#routing?.configuration.version ?? '',
			configuration_age_ms: Math.round(this.#configurationAgeMs()),
		});
		this.#metrics.rejected(answer.status);
		sendOwnAnswer(output, answer);
	}

	#admit(
		request: IncomingMessage,
		output: CallerOutput,
		receivedAt: number,
		body: Uint8Array,
	): Admission {
		const routing = this.#routing;
		if (!routing) {
			return rejected(503, 'no configuration yet', startRetryAfterMs);
		}

		const {method = 'GET', url = '/', rawHeaders} = request;
		const ageMs = this.#configurationAgeMs();
		const route = routing.route(request.headers.host ?? '', url);
		if (!route) {
			return ageMs > freshMs
				? rejected(503, 'configuration may be old', elsewhereRetryAfterMs)
				: {type: 'rejected', answer: {status: 404, reason: 'no such route'}};
		}

		const head = this.#options.format.readRequest(rawHeaders);
		let workspace: KeyHolder | undefined;
		if (routing.hasWorkspaces && !route.isPublic) {
			workspace =
				head.key === undefined ? undefined : routing.workspace(head.key);
			if (ageMs > this.#bounds.revocationMs * keyAgePart) {
				return rejected(503, 'keys cannot be checked', elsewhereRetryAfterMs);
			}

			if (!workspace) {
				return ageMs > freshMs
					? rejected(503, 'configuration may be old', elsewhereRetryAfterMs)
					: {type: 'rejected', answer: {status: 401, reason: 'unknown key'}};
			}
		}

		const service = routing.target(route, head.requestId);
		if (!service) {
			return rejected(503, 'route without service', startRetryAfterMs);
		}

		return {
			type: 'admitted',
			exchange: new Exchange(
				this.#context,
				{
					method,
					target: url,
					headers: rawHeaders,
					body,
					head,
					route,
					service,
					workspace,
					receivedAt,
					configurationVersion: routing.configuration.version,
				},
				output,
			),
		};
	}

	#configurationAgeMs(): number {
		return this.#confirmation.ageMs(readClocks());
	}
}

function rejected(
	status: 503,
	reason: string,
	retryAfterMs: number,
): Admission {
	return {
		type: 'rejected',
		answer: {status, reason, retryAfterMs, closes: true},
	};
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
