/** Absolute form of a request's target, as callers send it to a proxy; the groups are the host with its port and the rest. */
const absoluteForm = /^https?:\/\/(?<host>[^\/?#]+)(?<rest>.*)$/isv;

/** Host that a request names, with or without a port, and its target in origin form: the path and the query. */
export type RequestTarget = {
	readonly host: string;
	readonly target: string;
};

/** Combines the Host headers of a request with its target, which may be in absolute form; undefined when they name more than one host, as an endpoint might use another one than the route is chosen by. */
export function requestTarget(
	[host = '', ...otherHosts]: readonly string[],
	target: string,
): RequestTarget | undefined {
	if (otherHosts.length > 0) {
		return undefined;
	}

	const named = absoluteForm.exec(target)?.groups;
	if (!named) {
		return {host, target};
	}

	const {host: targetHost = '', rest = ''} = named;
	return targetHost.toLowerCase() === host.toLowerCase()
		? {host, target: rest.startsWith('/') ? rest : `/${rest}`}
		: undefined;
}
