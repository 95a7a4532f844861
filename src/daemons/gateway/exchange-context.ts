import type {
	HttpFormat,
	KeyHolder,
	PromptPart,
	RequestHead,
	Route,
	Service,
} from '../../interfaces/index.js';
import type {
	ColdStart,
	CrashSuspects,
	DrainSchedule,
	EndpointSet,
	Contention,
	RateLimits,
	RetryAllowance,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import type {CrashReports} from './crash-reports.js';
import type {EndpointSignals} from './endpoint-signals.js';
import type {ConnectionPools} from './connection-pools.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {LivenessChecks} from './liveness-checks.js';
import type {LoopLag} from './loop-lag.js';
import type {PeerExchange} from './peer-exchange.js';
import type {RequestQueueTask} from './request-queue-task.js';

/** A caller's request with the route, service and workspace it resolved to. */
export type CallerRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	readonly head: RequestHead;
	/** Parts of its prompt as its caller named them, also where the prompt is ignored: an engine may read and crash on them in any case. */
	readonly namedParts: readonly PromptPart[];
	readonly route: Route;
	readonly service: Service;
	readonly workspace: KeyHolder | undefined;
	/** Priority that engines are told, 0 first. */
	readonly priority: number;
	/** Rank in which it gets capacity, 0 first. */
	readonly rank: number;
	/** Time at which its headers had been read, in milliseconds of the monotonic clock. */
	readonly receivedAt: number;
	/** Version of the configuration that was in force when it was admitted. */
	readonly configurationVersion: number;
};

/** Services and state that all exchanges of a gateway share. */
export type ExchangeContext = {
	readonly dataCentre: string;
	readonly format: HttpFormat;
	readonly endpoints: EndpointSet;
	readonly connections: ConnectionPools;
	readonly retryAllowance: RetryAllowance;
	/** Number of running gateways; the retry budget is divided among them. */
	readonly gateways: () => number;
	/** Undefined unless the gateway is stopping. */
	readonly drain: () => DrainSchedule | undefined;
	readonly log: Log;
	readonly queue: RequestQueueTask;
	readonly loopLag: LoopLag;
	readonly peers: PeerExchange;
	readonly metrics: GatewayMetrics;
	readonly signals: EndpointSignals;
	readonly rateLimits: RateLimits;
	readonly crashSuspects: CrashSuspects;
	readonly crashReports: CrashReports;
	readonly contention: Contention;
	readonly coldStart: ColdStart;
	readonly livenessChecks: LivenessChecks;
};

/** Outcome and timing of a finished request, for the metrics. */
export type ExchangeSummary = {
	readonly request: CallerRequest;
	readonly outcome: string;
	readonly sends: number;
	readonly totalMs: number;
	/** Time from `receivedAt` to the first forwarded bytes of the body or the end of a buffered response, in milliseconds; undefined when there were none. */
	readonly firstByteMs: number | undefined;
};
