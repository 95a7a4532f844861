/** The other processes of the fleet, as reported by membership. */
export class Peers {
	#list: readonly string[] = [];

	get list(): readonly string[] {
		return this.#list;
	}

	/** Number of processes in the fleet, including this one. */
	get fleetSize(): number {
		return this.#list.length + 1;
	}

	set(peers: readonly string[]): void {
		this.#list = peers;
	}
}
