import {test} from 'node:test';
import {expect} from 'earl';
import {measureLeave, MembershipFleet} from './membership-bench.js';

/** Design target for the time until every process knows of a leaving one, in milliseconds of virtual time. */
const leaveTargetMs = 2000;

for (const loss of [0, 0.1]) {
	// Guards against a leaving endpoint that keeps getting requests while the table is unreachable.
	test(`a leaving member is known everywhere within 2 s, loss ${loss}`, () => {
		const row = measureLeave({members: 300, seed: 3, loss});
		expect(row.missing).toEqual(0);
		expect(row.worstMs).toBeLessThanOrEqual(leaveTargetMs);
	});
}

// Guards against a process that acts on or forwards outdated facts after a pause.
test('a paused process catches up before it acts', () => {
	const fleet = new MembershipFleet(40, 5);
	fleet.publish(fleet.list());
	fleet.runUntil(5000);
	fleet.pause(7, 60_000);
	fleet.runUntil(10_000);
	for (const index of [1, 2, 3]) {
		fleet.handle(index, {type: 'leave'});
	}

	fleet.runUntil(20_000);
	fleet.restart(2, 9);
	fleet.runUntil(59_999);
	const acted: string[] = [];
	fleet.onMember = (node, fact) => {
		if (node === 7) {
			acted.push(`${fact.id} ${fact.incarnation} ${fact.state}`);
			expect(fleet.machine(7).isCatchingUp).toEqual(false);
		}
	};

	fleet.runUntil(60_000);
	expect(fleet.machine(7).isCatchingUp).toEqual(true);
	fleet.runUntil(65_000);
	expect(fleet.machine(7).isCatchingUp).toEqual(false);
	expect(acted.toSorted()).toEqual([
		'm1 0 leaving',
		'm2 9 alive',
		'm3 0 leaving',
	]);
});

// Guards against a healed partition that reverts newer facts, or removes members of the other side.
test('the sides of a partition converge without reverting facts', () => {
	const fleet = new MembershipFleet(60, 6);
	fleet.publish(fleet.list());
	fleet.runUntil(5000);
	fleet.cut = (from, to) => from % 2 !== to % 2;
	for (let index = 0; index < 60; index += 2) {
		fleet.handle(index, {type: 'link', id: 'm1', state: 'lost'});
	}

	fleet.handle(3, {type: 'leave'});
	fleet.publish(fleet.list([5]));
	fleet.runUntil(30_000);
	fleet.publish(fleet.list([5]));
	fleet.restart(4, 20);
	fleet.runUntil(3_600_000);
	fleet.cut = undefined;
	fleet.runUntil(3_615_000);
	for (let index = 0; index < 60; index++) {
		const machine = fleet.machine(index);
		expect(machine.get('m1')?.state).toEqual('alive');
		expect(machine.get('m3')?.state).toEqual('leaving');
		expect(machine.get('m4')?.incarnation).toEqual(20);
		// It is running, so it refuted its removal from the list.
		expect(machine.get('m5')).toEqual({
			id: 'm5',
			incarnation: 1,
			state: 'alive',
			address: 'm5',
		});
	}
});
