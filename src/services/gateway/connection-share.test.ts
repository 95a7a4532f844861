import {test} from 'node:test';
import {expect} from 'earl';
import {maxIdleConnections} from './connection-share.js';

// Guards against connections that an endpoint resets because all gateways together keep more than it accepts.
test('idle connections of all gateways and those in use are within the bound of an endpoint', () => {
	for (const [maxConnections, slots, gateways] of [
		[510, 64, 31],
		[250, 6, 31],
		[96, 6, 3],
		[730, 64, 68],
		[370, 64, 1],
	] as const) {
		const idle = maxIdleConnections({maxConnections, slots}, gateways);
		expect(idle >= 1).toEqual(true);
		expect(idle * gateways + slots * 1.25 <= maxConnections).toEqual(true);
	}

	expect(maxIdleConnections({maxConnections: 10, slots: 8}, 6)).toEqual(1);
});
