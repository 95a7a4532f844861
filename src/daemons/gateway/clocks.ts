import type {Clocks} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';

/** Reads the monotonic clock and the time of day. The only monotonic clock of Node.js that also counts suspensions is the host's uptime, which on shared hosts is not that of the machine. */
export function readClocks(): Clocks {
	return {monotonicMs: monotonicNow(), wallMs: Date.now()};
}
