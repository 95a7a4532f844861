import {Buffer} from 'node:buffer';
import type {AnswerHead, HttpFormat} from '../../interfaces/index.js';
import type {ProbeOutcome, Upstream} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {EndpointSignals} from './endpoint-signals.js';
import type {ConnectionPools} from './connection-pools.js';
import {decodeRawHeaders} from './raw-headers.js';

/** Maximum size of a state body, in bytes; a larger one is not parsed. */
const maxStateBytes = 16 * 1024;

/** Dependencies of engine probes. */
export type EngineProbeContext = {
	readonly connections: ConnectionPools;
	readonly format: HttpFormat;
	readonly signals: EndpointSignals;
	/** Resolves when all data that has arrived has been read: after a pause of this process, timers run before sockets are read. */
	readonly readSockets: () => Promise<void>;
};

export type EngineProbeOptions = {
	/** Opens a connection, because a pooled one may be dead without notice; otherwise an idle one is used, whatever its age. */
	readonly isNewConnection: boolean;
	/** Time within which the answer must be complete, in milliseconds; an engine needs no slot for it and takes about 1 ms. */
	readonly timeoutMs: number;
	/** Ends the probe early, as silent. */
	readonly signal?: AbortSignal;
};

/** Requests the state of an engine; never rejects. */
export async function probeEngine(
	upstream: Upstream,
	{connections: pools, format, signals, readSockets}: EngineProbeContext,
	{isNewConnection, timeoutMs, signal}: EngineProbeOptions,
): Promise<ProbeOutcome> {
	const pool = pools.poolFor(upstream);
	const connection = isNewConnection
		? pool.open('probe')
		: pool.acquire('repeatable', 'probe');
	const sentAt = monotonicNow();
	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let status = 0;
		let head: AnswerHead | undefined;
		let length = 0;
		let isSent = false;
		let isSettled = false;
		const settle = (outcome: ProbeOutcome) => {
			isSettled = true;
			clearTimeout(timer);
			signal?.removeEventListener('abort', fail);
			resolve(outcome);
		};

		const end = (outcome: ProbeOutcome) => {
			if (!isSettled) {
				settle(outcome);
				pool.discard(connection);
			}
		};

		const fail = () => {
			end({type: 'silent'});
		};

		const timer = setTimeout(() => {
			// Its answer may have arrived: the end of a probe closes its connection.
			void readSockets().then(fail);
		}, timeoutMs);
		signal?.addEventListener('abort', fail);
		connection.dispatch(
			{method: 'GET', path: format.engineReportPath, headers: []},
			{
				onRequestStart() {
					isSent = true;
				},
				onResponseStart(controller, statusCode) {
					status = statusCode;
					head = format.parseAnswer(
						statusCode,
						decodeRawHeaders(controller.rawHeaders),
					);
				},
				onResponseData(_controller, chunk) {
					length += chunk.length;
					if (length > maxStateBytes) {
						end({type: 'answered', report: undefined});
					} else {
						chunks.push(Buffer.from(chunk));
					}
				},
				onResponseEnd() {
					if (isSettled) {
						return;
					}

					if (connection.isReset) {
						end({type: 'closed'});
						return;
					}

					const report = format.parseEngineReport(
						Buffer.concat(chunks).toString(),
					);
					const startedAt = report?.startedAt;
					if (
						startedAt !== undefined &&
						startedAt === upstream.listed.startedAt
					) {
						upstream.recordListedAlive(sentAt);
					}

					// Ignores the headers of another engine that has reused the address.
					if (
						head &&
						(startedAt === undefined || startedAt === upstream.listed.startedAt)
					) {
						signals.applyHead(upstream, status, head, false);
						if (head.load) {
							upstream.pace.recordSlowdown(head.load, monotonicNow());
						}
					}

					settle({type: 'answered', report});
					setImmediate(() => {
						pool.release(connection);
					});
				},
				onResponseError(_controller, error) {
					if ('code' in error && error.code === 'ECONNREFUSED') {
						end({type: 'refused'});
					} else {
						end({type: isSent ? 'closed' : 'silent'});
					}
				},
			},
		);
	});
}
