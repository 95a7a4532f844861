import type {Server} from 'node:net';

/** Splits an address "IP:port" into host and port. */
export function splitAddress(address: string): {host: string; port: number} {
	const separator = address.lastIndexOf(':');
	return {
		host: address.slice(0, separator),
		port: Number(address.slice(separator + 1)),
	};
}

/** Starts a server on "IP:port" and resolves to the bound port; rejects when the address cannot be used. */
export async function listen(server: Server, address: string): Promise<number> {
	const {host, port} = splitAddress(address);
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port}, () => {
			server.off('error', reject);
			const bound = server.address();
			resolve(typeof bound === 'object' && bound ? bound.port : port);
		});
	});
}
