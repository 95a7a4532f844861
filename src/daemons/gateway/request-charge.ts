import type {Disposable} from '../../base/index.js';
import type {MemoryHolder} from '../../services/gateway/index.js';

/** Memory of one request, charged to its connection. Requests that may run only once outlast their connections. */
export class RequestCharge implements Disposable {
	readonly #holder: MemoryHolder;
	readonly #onDidDispose: () => void;
	#head = 0;
	#body = 0;

	constructor(holder: MemoryHolder, onDidDispose: () => void) {
		this.#holder = holder;
		this.#onDidDispose = onDidDispose;
	}

	/** Charges the objects and the head of the request, in bytes. */
	addHead(bytes: number): void {
		this.#head += bytes;
		this.#holder.add('requests', bytes);
	}

	/** Sets the memory of the body, in bytes. */
	setBody(bytes: number): void {
		this.#holder.add('bodies', bytes - this.#body);
		this.#body = bytes;
	}

	dispose(): void {
		this.#holder.add('requests', -this.#head);
		this.setBody(0);
		this.#onDidDispose();
	}
}
