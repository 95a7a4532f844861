import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {ExchangeSummary} from './exchange-context.js';

/** Buckets of the latency histograms, in seconds; they cover the objectives and deadlines of the routes in use. */
const latencyBuckets = [
	0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 8, 12, 20,
];

/** Functions that read the gauges' values at each scrape. */
export type GaugeSources = {
	readonly requestsInProgress: () => number;
	readonly requestsWaiting: () => number;
	readonly configurationVersion: () => number;
	readonly configurationAgeMs: () => number;
	readonly endpoints: () => number;
	readonly gateways: () => number;
	/** Workspaces that have used more than their share while requests of several wait. */
	readonly workspacesOverShare: () => number;
	readonly droppedLines: () => number;
};

/** Counters, gauges and latency histograms of a gateway in the Prometheus text format. */
export class GatewayMetrics {
	readonly #registry = new Registry();
	readonly #requests = this.#counter(
		'requests_total',
		'Requests that have ended',
		['route', 'outcome'],
	);

	readonly #sends = this.#counter(
		'sends_total',
		'Sends of requests to endpoints, by how they ended',
		['service', 'end'],
	);

	readonly #repeats = this.#counter(
		'repeats_total',
		'Sends beyond the first of a request',
		['service'],
	);

	readonly #reservationAnswers = this.#counter(
		'room_answers_total',
		'Answers of other gateways whether an engine has room',
		['answer'],
	);

	readonly #rejections = this.#counter(
		'rejections_total',
		'Requests that were answered before they were placed',
		['status'],
	);

	readonly #storeCalls = this.#counter(
		'store_calls_total',
		'Calls to the platform store',
		['table', 'result'],
	);

	readonly #leavingEndpoints = this.#counter(
		'endpoints_leaving_total',
		'Endpoints that said that they leave, by who told it',
		['source'],
	);

	readonly #backOffs = this.#counter(
		'endpoint_rests_total',
		'Times that endpoints of a service asked for rest',
		['service'],
	);

	readonly #rateLimits = this.#counter(
		'endpoint_limits_total',
		'Changes of the request limits that endpoints name, by who told it',
		['source'],
	);

	readonly #crashSuspicions = this.#counter(
		'crash_suspicions_total',
		'Unanswered requests of this gateway at endpoints that crashed',
		['service'],
	);

	readonly #withheldRequests = this.#counter(
		'withheld_requests_total',
		'Requests that were not sent because they or a part of their prompts crash endpoints',
		['route'],
	);

	readonly #contentionDatagrams = this.#counter(
		'contention_datagrams_total',
		'Datagrams to other gateways about shares and refusals',
		[],
	);

	readonly #earlyRefusals = this.#counter(
		'early_refusals_total',
		'Requests that were refused before the end of their wait because they could get no capacity in time',
		['route'],
	);

	readonly #storeEraChanges = this.#counter(
		'store_era_changes_total',
		'Times that the platform store came back from an older copy',
		[],
	);

	readonly #requestDuration = this.#histogram(
		'request_seconds',
		'Time from the head of a request to the end of its answer',
	);

	readonly #firstByteLatency = this.#histogram(
		'first_byte_seconds',
		'Time from the head of a request to the first byte of its answer',
	);

	constructor(sources: GaugeSources) {
		this.#gauge('requests_in_progress', sources.requestsInProgress);
		this.#gauge('requests_waiting', sources.requestsWaiting);
		this.#gauge('configuration_version', sources.configurationVersion);
		this.#gauge(
			'configuration_age_seconds',
			() => sources.configurationAgeMs() / 1000,
		);
		this.#gauge('endpoints', sources.endpoints);
		this.#gauge('gateways', sources.gateways);
		this.#gauge('workspaces_over_share', sources.workspacesOverShare);
		this.#gauge('log_lines_dropped', sources.droppedLines);
	}

	/** Counts a request that has ended, and its latencies. */
	ended({request, outcome, totalMs, firstByteMs}: ExchangeSummary): void {
		const route = request.route.name;
		this.#requests.inc({route, outcome});
		this.#requestDuration.observe({route}, totalMs / 1000);
		if (firstByteMs !== undefined) {
			this.#firstByteLatency.observe({route}, firstByteMs / 1000);
		}
	}

	/** Counts an unanswered request at an engine that crashed. */
	crashSuspected(service: string): void {
		this.#crashSuspicions.inc({service});
	}

	/** Counts a request that was not sent because it or a part of its prompt crashes endpoints. */
	withheld(route: string): void {
		this.#withheldRequests.inc({route});
	}

	/** Counts a send to an endpoint by its result. */
	sent(service: string, end: string): void {
		this.#sends.inc({service, end});
	}

	/** Counts a send of a request beyond its first. */
	repeated(service: string): void {
		this.#repeats.inc({service});
	}

	/** Counts the result of a reservation request to another gateway. */
	reservationAnswered(answer: string): void {
		this.#reservationAnswers.inc({answer});
	}

	/** Counts a request that was answered without being sent to an endpoint. */
	rejected(status: number): void {
		this.#rejections.inc({status});
	}

	storeCall(table: string, result: 'answered' | 'failed'): void {
		this.#storeCalls.inc({table, result});
	}

	/** Counts an endpoint that announced that it is leaving, in an answer of its own or through another gateway. */
	leaving(source: 'answer' | 'peer'): void {
		this.#leavingEndpoints.inc({source});
	}

	/** Counts an endpoint's Retry-After. */
	backedOff(service: string): void {
		this.#backOffs.inc({service});
	}

	/** Counts a change of the request limit of an endpoint, learned from an answer or from another gateway. */
	rateLimited(source: 'answer' | 'peer'): void {
		this.#rateLimits.inc({source});
	}

	/** Counts a request that was refused before the end of its wait. */
	refusedAtOnce(route: string): void {
		this.#earlyRefusals.inc({route});
	}

	/** Counts datagrams about shares and refusals. */
	contentionSent(count: number): void {
		this.#contentionDatagrams.inc(count);
	}

	/** Counts a restore of the platform store from an older backup. */
	eraChanged(): void {
		this.#storeEraChanges.inc();
	}

	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	#counter<Label extends string>(
		name: string,
		help: string,
		labelNames: Label[],
	): Counter<Label> {
		return new Counter({
			name: `cicadaswitch_${name}`,
			help,
			labelNames,
			registers: [this.#registry],
		});
	}

	#histogram(name: string, help: string): Histogram<'route'> {
		return new Histogram({
			name: `cicadaswitch_${name}`,
			help,
			labelNames: ['route'],
			buckets: latencyBuckets,
			registers: [this.#registry],
		});
	}

	#gauge(name: string, read: () => number): void {
		const gauge = new Gauge({
			name: `cicadaswitch_${name}`,
			help: name.replaceAll('_', ' '),
			registers: [this.#registry],
			collect() {
				gauge.set(read());
			},
		});
	}
}
