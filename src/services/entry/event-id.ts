/** Identifies a chunk of an answer in server-sent events and in the Last-Event-ID header. */
export type EventId = {
	readonly endpoint: string;
	readonly attempt: string;
	readonly sequence: number;
};

export function formatEventId({endpoint, attempt, sequence}: EventId): string {
	return `${endpoint}/${attempt}/${sequence}`;
}

/** Parses `<endpoint>/<attempt>/<sequence>`; undefined when the text has another format. */
export function parseEventId(text: string): EventId | undefined {
	const match =
		/^(?<endpoint>[^\/]+)\/(?<attempt>[^\/]+)\/(?<sequence>\d{1,15})$/v.exec(
			text,
		);
	const {endpoint, attempt, sequence} = match?.groups ?? {};
	return endpoint && attempt
		? {endpoint, attempt, sequence: Number(sequence)}
		: undefined;
}
