import type {ListedInstance} from '../ports/index.js';
import {sendJson, StandInServer} from './http-server.js';

/** Instance list stand-in over HTTP. */
export class InstanceListServer extends StandInServer {
	instances: ListedInstance[] = [];

	constructor() {
		super((request, body, response) => {
			sendJson(response, 200, {instances: this.instances});
		});
	}
}
