import {sendJson, StandInServer} from './http-server.js';

/** Plain service stand-in: counts the calls that it has executed. */
export class ServiceServer extends StandInServer {
	/** Bodies of the executed calls, in order, for tests. */
	readonly executed: string[] = [];

	constructor(name: string) {
		super((request, body, response) => {
			if (request.url === '/load') {
				sendJson(response, 200, {running: 0, waiting: 0});
				return;
			}

			this.executed.push(body);
			sendJson(response, request.method === 'POST' ? 201 : 200, {
				service: name,
				method: request.method,
				path: request.url,
				number: this.executed.length,
			});
		});
	}
}
