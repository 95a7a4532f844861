import {test} from 'node:test';
import {expect} from 'earl';
import type {Configuration} from '../../interfaces/index.js';
import {ConfigurationCopy} from './configuration-copy.js';

function configuration(version: number, key = 'k'): Configuration {
	return {
		version,
		routes: [],
		services: [],
		workspaces: [{name: 'w', keys: [key], tier: undefined}],
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	};
}

/** Copy that has applied version 5, written at store version 100, before the store is restored to version 90 at time 1000. */
function restoredCopy() {
	const copy = new ConfigurationCopy();
	copy.offer(configuration(3), 80);
	expect(copy.offer(configuration(5, 'k5'), 100)).toEqual('applied');
	copy.restored(90, 1000);
	return copy;
}

// Guards against a revoked key or a replaced route that comes back into use when the store is restored from an older backup.
test('a configuration from an older backup does not replace a newer one', () => {
	const copy = restoredCopy();
	expect(copy.offer(configuration(3), 80)).toEqual('awaited');
	expect(copy.offer(configuration(3), 95)).toEqual('awaited');
	expect(copy.routing?.workspace('k5')?.name).toEqual('w');
	expect(copy.routing?.workspace('k')).toEqual(undefined);
});

// Guards against a change that is ignored because its version number was already used before the restore.
test('what the operator writes after the restore is in force', () => {
	const copy = restoredCopy();
	expect(copy.offer(configuration(5, 'k5'), 91)).toEqual('known');
	const other = restoredCopy();
	expect(other.offer(configuration(5, 'other'), 92)).toEqual('applied');
	expect(other.routing?.workspace('other')?.name).toEqual('w');
	expect(other.offer(configuration(6, 'k6'), 93)).toEqual('applied');
});

// Guards against a revoked key that is accepted again because the operator takes long to write again.
test('an older configuration is never accepted, and a newer one ends the wait', () => {
	const copy = restoredCopy();
	for (const writtenAt of [80, 95]) {
		expect(copy.offer(configuration(3), writtenAt)).toEqual('awaited');
		expect(copy.offer(configuration(4), writtenAt)).toEqual('awaited');
	}

	expect(copy.routing?.configuration.version).toEqual(5);
	expect(copy.isRecovered(1_000_000)).toEqual(true);
	expect(copy.offer(configuration(6), 96)).toEqual('applied');
});

// Guards against a key that was revoked in the lost seconds and is confirmed as valid by a store that lacks the revocation.
test('a read proves nothing until the operator has had time to write again', () => {
	const copy = restoredCopy();
	expect(copy.isRecovered(1100)).toEqual(false);
	copy.offer(configuration(5, 'k5'), 90);
	expect(copy.isRecovered(1200)).toEqual(false);
	copy.offer(configuration(5, 'k5'), 91);
	expect(copy.isRecovered(1300)).toEqual(true);
	expect(restoredCopy().isRecovered(4000)).toEqual(true);
});
