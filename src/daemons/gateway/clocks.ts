import os from 'node:os';
import type {Clocks} from '../../services/gateway/index.js';
import {monotonicNow} from '../task.js';

/** The process's clocks at this moment. */
export function readClocks(): Clocks {
	return {
		steadyMs: monotonicNow(),
		bootMs: os.uptime() * 1000,
		wallMs: Date.now(),
	};
}
