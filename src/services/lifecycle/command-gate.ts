/** Refuses commands under an older lease, on behalf of engines that ignore the fencing token. */
export class CommandGate {
	#highest: number | undefined;

	/** Raises the least acceptable token, to that of the lease in the table. */
	raise(token: number): void {
		this.#highest = Math.max(this.#highest ?? 0, token);
	}

	/** Whether a command may pass. None does before a token is known, since memory starts empty. */
	accept(token: number): boolean {
		if (this.#highest === undefined || token < this.#highest) {
			return false;
		}

		this.#highest = token;
		return true;
	}
}
