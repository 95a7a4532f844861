import {test} from 'node:test';
import {expect} from 'earl';
import {TableUncertain, type VersionedFields} from '../interfaces/index.js';
import {MemoryTable} from '../interfaces/standins/index.js';
import {applyRecords} from './apply.js';
import {deleteRecord} from './delete.js';
import {diffRecords} from './diff.js';
import {exitCodes, type Output} from './exit-code.js';
import {getRecord} from './get.js';
import {showHistory} from './history.js';
import {listRecords} from './list.js';
import {validateRecords} from './validate.js';

/** Collects what a command prints. */
class CollectedOutput implements Output {
	readonly text: string[] = [];

	out(text: string): void {
		this.text.push(text);
	}

	error(text: string): void {
		this.text.push(text);
	}

	takeText(): string {
		return this.text.splice(0).join('\n');
	}
}

const term = {schema: 1, kind: 'term', name: 'abay', startsAtRevision: 1};
function lettersClass(tier: number, fields: object = {}): VersionedFields {
	const targets = {tier, firstTokenMs: 660, gapMs: 32};
	return {schema: 1, kind: 'class', name: 'letters', ...targets, ...fields};
}

function inputOf(value: unknown) {
	return {files: ['-'], json: false, read: async () => JSON.stringify(value)};
}

const options = {operator: 'abay', isDryRun: false, writeId: undefined};

async function createTable(lines: CollectedOutput): Promise<MemoryTable> {
	const table = new MemoryTable();
	const code = await applyRecords(
		table,
		{...inputOf([term, lettersClass(1)]), ...options, writeId: 'w1'},
		lines,
	);
	expect([code, lines.takeText()]).toEqual([
		exitCodes.done,
		'accepted as revision 1, write w1',
	]);
	return table;
}

// Guards against an apply that overwrites a change made since its file was read.
test('apply compares the revision and shows both sides of a conflict', async () => {
	const lines = new CollectedOutput();
	const table = await createTable(lines);
	await getRecord(table, {kind: 'class', name: 'letters'}, lines);
	const edited = JSON.parse(lines.takeText()) as VersionedFields;
	const first = {...inputOf({...edited, tier: 2}), ...options, writeId: 'w2'};
	expect(await applyRecords(table, first, lines)).toEqual(exitCodes.done);
	lines.takeText();
	const second = {...inputOf({...edited, tier: 3}), ...options};
	expect(await applyRecords(table, second, lines)).toEqual(exitCodes.conflict);
	const text = lines.takeText();
	for (const part of ['write w2 at revision 2', '"tier":2', '"tier":3']) {
		expect(text).toInclude(part);
	}
});

// Guards against a dry run that writes, or that does not report that the operator has no term.
test('a dry run changes nothing and reports what a write would do', async () => {
	const lines = new CollectedOutput();
	const table = await createTable(lines);
	const dry = {...inputOf(lettersClass(2)), ...options, isDryRun: true};
	expect(await applyRecords(table, dry, lines)).toEqual(exitCodes.done);
	const other = {...dry, operator: 'baro'};
	expect(await applyRecords(table, other, lines)).toEqual(exitCodes.noTerm);
	lines.takeText();
	expect(await diffRecords(table, inputOf(lettersClass(2)), lines)).toEqual(
		exitCodes.different,
	);
	expect(lines.takeText()).toEqual('class/letters\n- tier: 1\n+ tier: 2');
	expect(await diffRecords(table, inputOf(lettersClass(1)), lines)).toEqual(
		exitCodes.done,
	);
});

// Guards against a history or list that misses or invents a change.
test('delete, list and history agree', async () => {
	const lines = new CollectedOutput();
	const table = await createTable(lines);
	const target = {kind: 'class', name: 'letters', json: false, ...options};
	expect(await deleteRecord(table, {...target, revision: 9}, lines)).toEqual(
		exitCodes.conflict,
	);
	expect(await deleteRecord(table, {...target, revision: 1}, lines)).toEqual(
		exitCodes.done,
	);
	lines.takeText();
	await listRecords(table, {json: false}, lines);
	expect(lines.takeText()).toEqual('term/abay\t1\tabay');
	await showHistory(
		table,
		{record: 'class/letters', last: 9, json: false},
		lines,
	);
	expect(lines.takeText()).toMatchRegex(/^1\tabay\tw1\t.*\n2\tabay\t.*delete/v);
	const unknown = {writeId: 'w9', last: 9, json: false};
	expect(await showHistory(table, unknown, lines)).toEqual(exitCodes.different);
});

// Guards against an accepted write that is reported as failed because the answer of the table was lost.
test('apply finds out the result of a write whose answer was lost', async () => {
	const lines = new CollectedOutput();
	const table = await createTable(lines);
	const commit = table.commit.bind(table);
	let isLost = true;
	table.commit = async (transaction) => {
		const decision = await commit(transaction);
		if (isLost) {
			isLost = false;
			throw new TableUncertain('answer lost');
		}

		return decision;
	};

	const write = {...inputOf(lettersClass(2)), ...options, writeId: 'w2'};
	expect(await applyRecords(table, write, lines)).toEqual(exitCodes.done);
	expect(lines.takeText()).toEqual('accepted as revision 2, write w2');
});

// Guards against an error that does not name the record and field, and against records of a later schema being rejected.
test('validate names every problem', async () => {
	const lines = new CollectedOutput();
	const bad = [lettersClass(1), lettersClass(77), {kind: 'other'}];
	expect(await validateRecords(inputOf(bad), lines)).toEqual(exitCodes.invalid);
	const text = lines.takeText();
	expect(text).toInclude('-[1]: tier:');
	expect(text).toInclude('-[2]: kind "other" is not known');
	const later = inputOf(lettersClass(1, {schema: 2}));
	expect(await validateRecords(later, lines)).toEqual(exitCodes.done);
	expect(lines.takeText()).toInclude('schema 2 is later than 1');
});
