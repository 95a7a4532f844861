import loglevel from 'loglevel';

/** Fields of a log line; values are written as JSON. */
export type LogFields = Readonly<Record<string, string | number>>;

export type LogOptions = {
	/** `text` writes key=value pairs, `json` one object for each line. */
	readonly format: 'text' | 'json';
	/** Lines below this level are not written. */
	readonly level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
	/** Where lines go in place of the console, which blocks while its reader is slow. */
	readonly write?: (line: string) => void;
};

/** Writes structured lines. */
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

/** One line without its end; text values are quoted when they hold spaces, quotes or "=". */
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
