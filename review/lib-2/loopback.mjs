import {once} from 'node:events';
import {createServer} from 'node:net';

/** Starts to listen on a free port of the loopback address; resolves to "IP:port". */
export async function listen(server) {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${server.address().port}`;
}

/** Stops a server and closes its connections. */
export function closeServer(server) {
	server.close();
	server.closeAllConnections?.();
}

/** Resolves to so many free ports. */
export async function freePorts(count) {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(
		servers.map(async (server) => listen(server)),
	);
	for (const server of servers) {
		server.close();
	}

	return addresses.map((address) => Number(address.split(':')[1]));
}
