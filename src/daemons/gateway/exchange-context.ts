import type {
	HttpFormat,
	KeyHolder,
	RequestHead,
	Route,
	Service,
} from '../../interfaces/index.js';
import type {
	EndpointSet,
	RetryAllowance,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import type {AnswerNotes} from './answer-notes.js';
import type {ConnectionDirectory} from './connection-directory.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {LoopLag} from './loop-lag.js';
import type {PeerExchange} from './peer-exchange.js';
import type {WaitingTask} from './waiting-task.js';

/** A request as the gateway has read and resolved it. */
export type CallerRequest = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	readonly head: RequestHead;
	readonly route: Route;
	readonly service: Service;
	readonly workspace: KeyHolder | undefined;
	/** Moment at which its head had been read. */
	readonly receivedAt: number;
	/** Version of the configuration that it is handled by. */
	readonly configurationVersion: number;
};

/** What exchanges share. */
export type ExchangeContext = {
	readonly dataCentre: string;
	readonly format: HttpFormat;
	readonly endpoints: EndpointSet;
	readonly connections: ConnectionDirectory;
	readonly allowance: RetryAllowance;
	readonly gateways: () => number;
	readonly log: Log;
	readonly room: WaitingTask;
	readonly lag: LoopLag;
	readonly peers: PeerExchange;
	readonly metrics: GatewayMetrics;
	readonly notes: AnswerNotes;
};

/** How a request ended, for counters. */
export type ExchangeSummary = {
	readonly request: CallerRequest;
	readonly outcome: string;
	readonly sends: number;
	readonly totalMs: number;
	readonly firstByteMs: number | undefined;
};
