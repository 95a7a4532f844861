/** Blocks the event loop for a time in milliseconds, as a lack of processor time does. */
export function block(ms: number): void {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		// Busy wait.
	}
}

/** Blocks the event loop right after an action, in a phase after which timers run before sockets are read. */
export async function blockBeforeTimers(
	ms: number,
	action: () => void,
): Promise<void> {
	return new Promise((resolve) => {
		setImmediate(() => {
			action();
			block(ms);
			resolve();
		});
	});
}
