/** Blocks the event loop for a time in milliseconds, as a lack of processor time does. */
export function block(ms: number): void {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		// Busy wait.
	}
}
