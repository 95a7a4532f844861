import {Buffer} from 'node:buffer';
import type {
	AnswerHead,
	EngineReport,
	HttpFormat,
} from '../../interfaces/index.js';
import type {Upstream} from '../../services/gateway/index.js';
import type {EndpointSignals} from './endpoint-signals.js';
import type {ConnectionPools} from './connection-pools.js';
import {decodeRawHeaders} from './raw-headers.js';

/** Timeout of a probe, in milliseconds; an engine needs no slot to answer it and takes about 1 ms. */
const probeTimeoutMs = 400;

/** Maximum size of a state body, in bytes; a larger response counts as a failure. */
const maxStateBytes = 16 * 1024;

/** Dependencies of engine probes. */
export type EngineProbeContext = {
	readonly connections: ConnectionPools;
	readonly format: HttpFormat;
	readonly signals: EndpointSignals;
};

/** Response of an engine that is alive; `report` is undefined when the body cannot be parsed. */
export type EngineState = {readonly report: EngineReport | undefined};

/** Requests the state of an engine. With `isNewConnection`, opens a connection, because a pooled one may be dead without notice. Resolves to undefined when there is no response in time; never rejects. */
export async function probeEngine(
	upstream: Upstream,
	{connections: pools, format, signals}: EngineProbeContext,
	isNewConnection: boolean,
): Promise<EngineState | undefined> {
	const pool = pools.poolFor(upstream);
	const connection = isNewConnection ? pool.open() : pool.acquire(true);
	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let status = 0;
		let head: AnswerHead | undefined;
		let length = 0;
		let isSettled = false;
		const fail = () => {
			if (!isSettled) {
				isSettled = true;
				clearTimeout(timer);
				pool.discard(connection);
				resolve(undefined);
			}
		};

		const timer = setTimeout(fail, probeTimeoutMs);
		connection.dispatch(
			{method: 'GET', path: format.engineReportPath, headers: []},
			{
				onRequestStart() {
					// The timeout includes the time to connect.
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
						fail();
					} else {
						chunks.push(Buffer.from(chunk));
					}
				},
				onResponseEnd() {
					if (isSettled) {
						return;
					}

					isSettled = true;
					clearTimeout(timer);
					const report = format.parseEngineReport(
						Buffer.concat(chunks).toString(),
					);
					const startedAt = report?.startedAt;
					// Ignores the headers of another engine that has reused the address.
					if (
						head &&
						(startedAt === undefined || startedAt === upstream.listed.startedAt)
					) {
						signals.applyHead(upstream, status, head, false);
					}

					resolve({report});
					setImmediate(() => {
						pool.release(connection);
					});
				},
				onResponseError: fail,
			},
		);
	});
}

/** Checks whether an engine responds to a probe. Sends two at once, each on a new connection, because the first packet of a connection may be lost. */
export async function isAlive(
	upstream: Upstream,
	context: EngineProbeContext,
): Promise<boolean> {
	const states = await Promise.all([
		probeEngine(upstream, context, true),
		probeEngine(upstream, context, true),
	]);
	return states.some((state) => state !== undefined);
}
