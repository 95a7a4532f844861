/**
 * Resolves when all socket events that are pending now have been handled.
 * Node.js runs timers before it reads sockets, so after a pause of the process a
 * timer runs although what it waits for may have arrived.
 */
export async function readSockets(): Promise<void> {
	await nextEventLoopTurn();
	await nextEventLoopTurn();
}

async function nextEventLoopTurn(): Promise<void> {
	return new Promise((resolve) => {
		setImmediate(resolve);
	});
}
