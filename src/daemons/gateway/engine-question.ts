import {Buffer} from 'node:buffer';
import type {
	AnswerHead,
	EngineReport,
	HttpFormat,
} from '../../interfaces/index.js';
import type {Upstream} from '../../services/gateway/index.js';
import type {AnswerNotes} from './answer-notes.js';
import type {ConnectionDirectory} from './connection-directory.js';
import {rawText} from './raw-text.js';

/** Longest time for an engine's state, in milliseconds; it needs no slot and takes about 1 ms. */
const timeoutMs = 400;

/** Longest state that is read, in bytes; more is no state. */
const maxStateBytes = 16 * 1024;

/** What questions to engines need. */
export type EngineQuestions = {
	readonly connections: ConnectionDirectory;
	readonly format: HttpFormat;
	readonly notes: AnswerNotes;
};

/** An engine's answer; its state is absent when it cannot be read. */
export type EngineState = {readonly report: EngineReport | undefined};

/** Asks an engine for its state, on a connection of its own when an idle one may have gone silent. Resolves to undefined when it does not answer; never rejects. */
export async function askEngine(
	upstream: Upstream,
	{connections: directory, format, notes}: EngineQuestions,
	isFresh: boolean,
): Promise<EngineState | undefined> {
	const connections = directory.of(upstream);
	const connection = isFresh ? connections.open() : connections.take(true);
	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let status = 0;
		let head: AnswerHead | undefined;
		let length = 0;
		let isOver = false;
		const fail = () => {
			if (!isOver) {
				isOver = true;
				clearTimeout(timer);
				connections.discard(connection);
				resolve(undefined);
			}
		};

		const timer = setTimeout(fail, timeoutMs);
		connection.dispatch(
			{method: 'GET', path: format.enginePath, headers: []},
			{
				onRequestStart() {
					// The timeout covers the connection as well.
				},
				onResponseStart(controller, statusCode) {
					status = statusCode;
					head = format.readAnswer(statusCode, rawText(controller.rawHeaders));
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
					if (isOver) {
						return;
					}

					isOver = true;
					clearTimeout(timer);
					const report = format.readEngine(Buffer.concat(chunks).toString());
					const startedAt = report?.startedAt;
					// Another engine at a reused address speaks for itself.
					if (
						head &&
						(startedAt === undefined || startedAt === upstream.listed.startedAt)
					) {
						notes.note(upstream, status, head);
					}

					resolve({report});
					setImmediate(() => {
						connections.release(connection);
					});
				},
				onResponseError: fail,
			},
		);
	});
}

/** Whether an engine answers at all; asked twice at once, as the first packet of a connection may be lost. */
export async function isAlive(
	upstream: Upstream,
	questions: EngineQuestions,
): Promise<boolean> {
	const states = await Promise.all([
		askEngine(upstream, questions, true),
		askEngine(upstream, questions, true),
	]);
	return states.some((state) => state !== undefined);
}
