import loglevel from 'loglevel';

/** Names and values of the fields of a log line. */
export type LogFields = Readonly<Record<string, string | number>>;

export type LogOptions = {
	/** `text` writes key=value pairs, `json` one JSON object per line. */
	readonly format: 'text' | 'json';
	/** Lines below this level are not written. */
	readonly level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
	/** Receives the lines instead of the console, which blocks the process while its reader is slow. */
	readonly write?: (line: string) => void;
};

/** Logger that writes an event with its fields, time and level as one line. */
export class Log {
	readonly #options: LogOptions;
	readonly #logger = loglevel.getLogger('cicadaswitch');

	constructor(options: LogOptions) {
		this.#options = options;
		const {write} = options;
		if (write) {
			this.#logger.methodFactory = () => write;
		}

		this.#logger.setLevel(options.level, false);
	}

	info(event: string, fields: LogFields = {}): void {
		this.#logger.info(this.#format('info', event, fields));
	}

	warn(event: string, fields: LogFields = {}): void {
		this.#logger.warn(this.#format('warn', event, fields));
	}

	#format(level: string, event: string, fields: LogFields): string {
		const line = {time: new Date().toISOString(), level, event, ...fields};
		return formatLine(line, this.#options.format);
	}
}

/** Formats a line, without the line break. In the text format, values are quoted as JSON when they are empty or contain white space, quotes or "=". */
export function formatLine(
	line: LogFields,
	format: LogOptions['format'],
): string {
	if (format === 'json') {
		return JSON.stringify(line);
	}

	return Object.entries(line)
		.map(([key, value]) => {
			const text = String(value);
			return `${key}=${/^[^\s"=]+$/v.test(text) ? text : JSON.stringify(text)}`;
		})
		.join(' ');
}
