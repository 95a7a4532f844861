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
	ConfigurationChange,
	EndpointChange,
	HttpFormat,
	RequestHead,
	Roster,
	Service,
	WatchedTable,
} from '../../interfaces/index.js';
import {
	admit,
	cautionMs,
	ColdStart,
	CrashSuspects,
	DrainSchedule,
	Contention,
	fitsEngine,
	maxFreshAgeMs,
	PeerLoads,
	RateLimits,
	RetryAllowance,
	type RetryBounds,
} from '../../services/gateway/index.js';
import {closeIdleInOrder} from '../idle-end.js';
import {listen} from '../listen.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import {GatewayAdmin} from './admin-server.js';
import {EndpointSignals} from './endpoint-signals.js';
import {probeEngine} from './engine-probe.js';
import {CallerOutput} from './caller-output.js';
import {CallerServer} from './caller-server.js';
import {ConnectionPools} from './connection-pools.js';
import {LivenessChecks} from './liveness-checks.js';
import {CrashReports} from './crash-reports.js';
import type {ExchangeContext} from './exchange-context.js';
import {Exchange} from './exchange.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {sendLocalReply, type LocalReply} from './local-reply.js';
import {LoopLag} from './loop-lag.js';
import {KvCachePoller} from './kv-cache-poller.js';
import {PeerExchange} from './peer-exchange.js';
import {PlatformCopy} from './platform-copy.js';
import {readBody} from './request-body.js';
import {RosterTask} from './roster-task.js';
import {RequestQueueTask} from './request-queue-task.js';

/** Interval at which a drain closes connections that have become idle, in milliseconds. */
const drainPollMs = 50;

/** Limits that can be reloaded while the process runs. */
export type GatewayBounds = {
	/** Maximum time for which a removed API key may still be accepted, in milliseconds. */
	readonly revocationMs: number;
	/** Time after which an endpoint that is leaving must get no more requests, in milliseconds. */
	readonly drainMs: number;
	/** Grace period between the stop signal and the end of the process, in milliseconds. */
	readonly graceMs: number;
	readonly retries: RetryBounds;
};

export type GatewayOptions = GatewayBounds & {
	/** Name of this gateway, unique among the gateways. */
	readonly instance: string;
	/** Address on which messages of other gateways are received. */
	readonly peerAddress: string;
	readonly dataCentre: string;
	readonly callerAddress: string;
	readonly readinessAddress: string;
	/** Path of the readiness check. */
	readonly readinessPath: string;
	readonly format: HttpFormat;
	readonly configuration: WatchedTable<ConfigurationChange>;
	readonly endpoints: WatchedTable<EndpointChange>;
	readonly roster: Roster;
	/** Fires when the platform's store has been restored from an older backup. */
	readonly onDidRestoreStore: Event<number>;
	readonly log: Log;
	/** Number of log lines that were dropped. */
	readonly droppedLines: () => number;
	/** Admin server for metrics and state; not started when absent. */
	readonly admin?: {readonly address: string; readonly metricsPath: string};
};

/** Gateway process that routes requests directly to endpoints: owns the callers' connections and keeps copies of the platform's tables. */
export class GatewayDaemon implements Disposable {
	readonly #options: GatewayOptions;
	readonly #disposables = new DisposableStore();
	readonly #callerServer: CallerServer;
	readonly #readinessServer: Server;
	readonly #context: ExchangeContext;
	readonly #platform: PlatformCopy;
	readonly #roster: RosterTask;
	readonly #peers: PeerExchange;
	readonly #kvCachePoller: KvCachePoller;
	readonly #loopLag = this.#disposables.add(new LoopLag());
	readonly #queue = this.#disposables.add(new RequestQueueTask(this.#loopLag));
	readonly #metrics: GatewayMetrics;
	readonly #rateLimits: RateLimits;
	readonly #crashSuspects = new CrashSuspects();
	readonly #contention = new Contention(
		() => (this.#platform.routing?.configuration.workspaces?.length ?? 0) > 1,
	);

	readonly #exchanges = new Set<Exchange>();
	/** Undefined unless a drain is in progress. */
	#drain: DrainSchedule | undefined;
	#bounds: GatewayBounds;

	constructor(options: GatewayOptions) {
		this.#options = options;
		this.#bounds = options;
		this.#metrics = new GatewayMetrics({
			requestsInProgress: () => this.#exchanges.size,
			requestsWaiting: () => this.#queue.size,
			configurationVersion: () =>
				this.#platform.routing?.configuration.version ?? 0,
			configurationAgeMs: () => this.#platform.ageMs,
			endpoints: () => this.#platform.endpoints.all().length,
			gateways: () => this.#roster.count,
			workspacesOverShare: () =>
				this.#contention.shares.countOverShare(monotonicNow()),
			droppedLines: options.droppedLines,
		});
		const loads = new PeerLoads();
		const startedAt = monotonicNow();
		const coldStart = new ColdStart(
			options.instance,
			startedAt,
			() => this.#roster.count,
			loads,
		);
		const rateLimits = new RateLimits();
		this.#rateLimits = rateLimits;
		this.#platform = this.#disposables.add(
			new PlatformCopy({
				...options,
				loads,
				metrics: () => this.#metrics,
				drainMs: () => this.#bounds.drainMs,
				freshnessSource: () => this.#peers.freshness,
			}),
		);
		this.#peers = this.#disposables.add(
			new PeerExchange({
				instance: options.instance,
				address: options.peerAddress,
				endpoints: this.#platform.endpoints,
				loads,
				rateLimits,
				crashSuspects: this.#crashSuspects,
				contention: this.#contention,
				onDidChangeSuspects: () => {
					this.#applySuspects();
				},
				log: options.log,
				metrics: this.#metrics,
				onDidReceiveReport: () => {
					this.#queue.dispatchSoon();
				},
				onDidDiscoverPeer: () => {
					this.#roster.readSoon();
				},
				proof: () => this.#platform.proof(),
			}),
		);
		this.#roster = this.#disposables.add(
			new RosterTask(
				options.roster,
				options.peerAddress,
				options.log,
				(addresses) => {
					this.#peers.setPeers(addresses);
				},
			),
		);
		this.#disposables.add(
			options.onDidRestoreStore(() => {
				this.#roster.restored();
			}),
		);
		const connections = this.#disposables.add(
			new ConnectionPools(this.#loopLag, () => this.#roster.count),
		);
		const signals = new EndpointSignals({
			endpoints: this.#platform.endpoints,
			log: options.log,
			metrics: this.#metrics,
			rateLimits,
			onDidChangeRateLimit: () => {
				this.#peers.notices.sendRateLimits();
			},
		});
		this.#loopLag.onDidStall = (stalledMs) => {
			options.log.info('process_stalled', {ms: Math.round(stalledMs)});
		};

		const readSockets = async () => this.#loopLag.readSockets();
		const probeContext = {
			connections,
			format: options.format,
			signals,
			readSockets,
		};
		const livenessChecks = new LivenessChecks({
			probe: async (upstream, probeOptions) =>
				probeEngine(upstream, probeContext, probeOptions),
			delay,
			log: options.log,
			readSockets,
		});
		this.#kvCachePoller = this.#disposables.add(
			new KvCachePoller({
				endpoints: this.#platform.endpoints,
				probeContext,
				owns: (upstream) => this.#peers.owns(upstream),
			}),
		);
		this.#context = {
			dataCentre: options.dataCentre,
			format: options.format,
			endpoints: this.#platform.endpoints,
			connections,
			retryAllowance: new RetryAllowance(options.retries),
			gateways: () => this.#roster.count,
			drain: () => this.#drain,
			log: options.log,
			queue: this.#queue,
			loopLag: this.#loopLag,
			peers: this.#peers,
			metrics: this.#metrics,
			signals,
			rateLimits,
			crashSuspects: this.#crashSuspects,
			contention: this.#contention,
			coldStart,
			livenessChecks,
			crashReports: this.#disposables.add(
				new CrashReports({
					crashSuspects: this.#crashSuspects,
					endpoints: this.#platform.endpoints,
					livenessChecks,
					notices: this.#peers.notices,
					log: options.log,
					metrics: this.#metrics,
					onDidChangeSuspects: () => {
						this.#applySuspects();
					},
				}),
			),
		};
		this.#platform.endpoints.onDidRemove(({upstream}) => {
			connections.remove(upstream);
			rateLimits.forget(upstream.key);
		});
		this.#platform.onDidChangeRouting(({configuration}) => {
			this.#callerServer.limits = configuration.limits;
			if (coldStart.isCautious(monotonicNow())) {
				this.#platform.endpoints.assumeObjectives(
					configuration.routes,
					startedAt + cautionMs,
				);
			}
		});
		this.#callerServer = this.#disposables.add(
			new CallerServer(options.log, (request, response) => {
				void this.#onRequest(request, response);
			}),
		);
		this.#readinessServer = createServer((request, response) => {
			const isReady = request.url === options.readinessPath && this.isReady;
			response.writeHead(isReady ? 200 : 503).end();
		});
		closeIdleInOrder(this.#readinessServer);
		this.#disposables.add(
			toDisposable(() => {
				this.#readinessServer.close();
				this.#readinessServer.closeAllConnections();
			}),
		);
	}

	/** Readiness for new connections: the configuration has been read and is recent, and no drain is in progress. */
	get isReady(): boolean {
		return (
			!this.#drain &&
			this.#platform.isComplete &&
			this.#platform.ageMs < maxFreshAgeMs * 1.25
		);
	}

	async start(): Promise<void> {
		const {callerAddress, readinessAddress, log} = this.#options;
		await this.#callerServer.listen(callerAddress);
		await listen(this.#readinessServer, readinessAddress);
		await this.#startAdmin();
		this.#platform.start();
		this.#peers.start();
		this.#kvCachePoller.start();
		this.#roster.start();
		log.info('started', {caller: callerAddress});
	}

	/** Applies limits from changed settings; changed addresses take effect at the next start. */
	reload({revocationMs, drainMs, graceMs, retries}: GatewayBounds): void {
		this.#bounds = {revocationMs, drainMs, graceMs, retries};
		this.#context.retryAllowance.bounds = retries;
		this.#options.log.info('reloaded', {
			revocation_ms: revocationMs,
			drain_ms: drainMs,
			grace_ms: graceMs,
			retry_slack: retries.slack,
		});
	}

	/** Finishes the requests in progress and closes the callers' connections; resolves when the process may exit. */
	async drain(): Promise<void> {
		const {log} = this.#options;
		const drain = new DrainSchedule(monotonicNow(), this.#bounds.graceMs);
		this.#drain = drain;
		log.info('draining', {requests: this.#exchanges.size});
		void this.#roster.leave();
		for (const exchange of this.#exchanges) {
			exchange.disableKeepAlive();
		}

		await delay(drain.idleCloseAt - drain.startedAt);
		await this.#closeIdleCallers(drain.answersEndAt);
		await this.#stopExchanges();
		await this.#closeIdleCallers(drain.exitAt);
		// A connection accepted from now on would be cut when the process exits.
		this.#callerServer.stopListening();
		await this.#closeIdleCallers(drain.exitAt);
		log.info('stopped', {
			requests: this.#exchanges.size,
			ms: Math.round(monotonicNow() - drain.startedAt),
		});
	}

	dispose(): void {
		for (const exchange of this.#exchanges) {
			exchange.cut();
		}

		this.#disposables.dispose();
	}

	/** Acts on a crash or a survival that has become known: requests in progress may have to be withdrawn, and waiting ones may be sent. */
	#applySuspects(): void {
		for (const exchange of this.#exchanges) {
			exchange.withdrawSuspect();
		}

		this.#queue.dispatchSoon();
	}

	/** Ends the requests in progress, so that their callers get an answer. */
	async #stopExchanges(): Promise<void> {
		if (this.#exchanges.size > 0) {
			for (const exchange of this.#exchanges) {
				exchange.stop();
			}

			// The answers are written, and waiting requests are refused, in this time, also when the process is late.
			await delay(drainPollMs);
		}
	}

	/** Closes connections as they become idle, until no connection or request is left or `endsAt` is reached. */
	async #closeIdleCallers(endsAt: number): Promise<void> {
		await this.#closeIdle();
		while (this.#isBusy && monotonicNow() < endsAt) {
			await delay(drainPollMs);
			await this.#closeIdle();
		}
	}

	/** A caller is connected, or a request is in progress; one that may run only once outlasts its caller. */
	get #isBusy(): boolean {
		return this.#callerServer.connections.size > 0 || this.#exchanges.size > 0;
	}

	/** Closes idle connections. On a busy process a request may have arrived that has not been read yet, so that its connection only seems idle. */
	async #closeIdle(): Promise<void> {
		await this.#loopLag.readSockets();
		this.#callerServer.connections.closeIdle();
	}

	async #startAdmin(): Promise<void> {
		const {admin} = this.#options;
		if (admin) {
			const server = this.#disposables.add(
				new GatewayAdmin({
					...admin,
					metrics: async () => this.#metrics.text(),
					state: () => this.#state(),
				}),
			);
			await server.start();
		}
	}

	/** Snapshot of the gateway's state, served to operators by the admin server. */
	#state(): unknown {
		const now = monotonicNow();
		return {
			isReady: this.isReady,
			isDraining: this.#drain !== undefined,
			configuration: this.#platform.routing?.configuration.version,
			requiresKeys: this.#platform.routing?.requiresKeys,
			configurationAgeMs: Math.round(this.#platform.ageMs),
			storeEra: this.#platform.era,
			gateways: this.#roster.count,
			requests: this.#exchanges.size,
			waiting: this.#queue.size,
			withheldRequests: this.#crashSuspects.withheld(now),
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
				restsMs: Math.max(0, upstream.backOffUntil - now),
				requestsPerSecond: this.#rateLimits.perSecond(upstream.key),
			})),
		};
	}

	async #onRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const {socket} = request;
		const receivedAt = monotonicNow();
		if (!(await this.#callerServer.connections.waitForTurn(socket, response))) {
			// No response can be sent, so the request is not forwarded.
			this.#logUnanswered(request);
			socket.destroySoon();
			return;
		}

		const output = new CallerOutput(response);
		const {maxBodyBytes} = this.#callerServer.limits;
		const body = await readBody(request, maxBodyBytes);
		await this.#loopLag.catchUp();
		if (request.socket.destroyed) {
			this.#options.log.info('caller_left', {
				request: this.#options.format.parseRequest(request.rawHeaders)
					.requestId,
			});
			return;
		}

		if (this.#drain) {
			output.disableKeepAlive();
		}

		switch (body.type) {
			case 'aborted': {
				return;
			}

			case 'too large': {
				sendLocalReply(output, {
					status: 413,
					reason: 'body too large',
					isLastOnConnection: true,
				});
				return;
			}

			case 'whole': {
				break;
			}
		}

		const {method = 'GET', url = '/', rawHeaders} = request;
		const head = this.#options.format.parseRequest(rawHeaders);
		const {routing, ageMs, isCompared} = this.#platform;
		const {revocationMs} = this.#bounds;
		const hosts = request.headersDistinct.host ?? [];
		const admission = admit(hosts, url, head, {
			routing: isCompared ? routing : undefined,
			ageMs,
			revocationMs,
			drain: this.#drain,
			receivedAt,
			now: monotonicNow(),
		});
		switch (admission.type) {
			case 'rejected': {
				this.#reject(head, output, admission);
				break;
			}

			case 'deferred': {
				this.#reject(head, output, {
					...admission,
					status: 503,
					isLastOnConnection: true,
				});
				break;
			}

			case 'admitted': {
				const {target, route, service, workspace, priority, rank} = admission;
				const exchange = new Exchange(
					this.#context,
					{
						method,
						target,
						headers: rawHeaders,
						body: body.bytes,
						head: this.#withoutOddPrompt(head, service),
						namedParts: head.prompt?.parts ?? [],
						route,
						service,
						workspace,
						priority,
						rank,
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
				await this.#runExchange(exchange, output);
				break;
			}
		}
	}

	/** Runs an exchange. An unexpected error aborts its response only, not the process with all other requests. */
	async #runExchange(exchange: Exchange, output: CallerOutput): Promise<void> {
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

	/** Drops the token counts of a request that no engine of the service could hold; the request is placed like one without counts. */
	#withoutOddPrompt(head: RequestHead, {engine}: Service): RequestHead {
		if (!head.prompt || !engine || fitsEngine(head.prompt, engine)) {
			return head;
		}

		this.#options.log.info('prompt_ignored', {
			request: head.requestId,
			prompt_tokens: head.prompt.promptTokens,
			output_tokens: head.prompt.outputTokens,
		});
		return {...head, prompt: undefined};
	}

	/** Logs that a request behind others on its connection ends without an answer, and which side has closed the connection. */
	#logUnanswered({rawHeaders, socket, complete}: IncomingMessage): void {
		const {requestId} = this.#options.format.parseRequest(rawHeaders);
		const isClosedHere = socket.writableEnded && !socket.readableEnded;
		this.#options.log.info('unanswered', {
			request: requestId,
			closed_by: isClosedHere ? 'gateway' : 'caller',
			whole: String(complete),
		});
	}

	#reject(head: RequestHead, output: CallerOutput, answer: LocalReply): void {
		this.#options.log.info('rejected', {
			request: head.requestId,
			status: answer.status,
			reason: answer.reason,
			configuration: this.#platform.routing?.configuration.version ?? '',
			configuration_age_ms: Math.round(this.#platform.ageMs),
		});
		this.#metrics.rejected(answer.status);
		sendLocalReply(output, answer);
	}
}

async function delay(ms: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}
