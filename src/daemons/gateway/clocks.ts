import type {Clocks} from '../../services/gateway/index.js';
import {monotonicNow} from '../task.js';

/** The process's clocks at this moment. Node.js reads no steady clock that counts suspensions but the uptime of the host, which on shared hosts is not that of the machine. */
export function readClocks(): Clocks {
	return {steadyMs: monotonicNow(), wallMs: Date.now()};
}
