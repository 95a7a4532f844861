import type {Server} from 'node:net';

/** Starts a server on "IP:port" and resolves to the port; rejects when the address cannot be used. */
export async function listen(server: Server, address: string): Promise<number> {
	const separator = address.lastIndexOf(':');
	const host = address.slice(0, separator);
	const port = Number(address.slice(separator + 1));
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port}, () => {
			server.off('error', reject);
			const bound = server.address();
			resolve(typeof bound === 'object' && bound ? bound.port : port);
		});
	});
}
