import {request as httpRequest} from 'node:http';

/** Sends a request on a connection of its own; resolves to its status, or 0 when it gets no answer. */
export async function call({ip, callerPort}, {host, path, requestId, key}) {
	return new Promise((resolve) => {
		const request = httpRequest(
			{
				host: ip,
				port: callerPort,
				method: 'POST',
				path,
				agent: false,
				headers: {
					Host: host,
					'X-Cicadaswitch-Request-Id': requestId,
					'X-Cicadaswitch-Key': key,
					'X-Cicadaswitch-Deadline-Ms': '1000',
					'Content-Length': '2',
				},
			},
			(response) => {
				response.resume();
				response.once('close', () => {
					resolve(response.complete ? response.statusCode : 0);
				});
			},
		);
		request.once('error', () => {
			resolve(0);
		});
		request.end('{}');
	});
}
