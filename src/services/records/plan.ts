import {
	headKey,
	headSchema,
	logKey,
	mergeRecord,
	decodeRecord,
	recordKey,
	recordMetaSchema,
	termSchema,
	type LogEntry,
	type RecordMeta,
	type Row,
	type RowCheck,
	type RowWrite,
	type StoredRecord,
	type Term,
	type Transaction,
	type VersionedFields,
} from '../../interfaces/index.js';
import type {Edit, WriteResult} from './message.js';

/** Number of log entries kept in the table: more than five days at 18,000 changes a day. */
export const maxLogEntries = 100_000;
/** Maximum number of edits in one write; bounds the size of a log entry, which is sent as one message. */
export const maxEdits = 100;

type Rows = ReadonlyMap<string, Row | undefined>;

/** A stored record and the metadata of its last write; without metadata if another program wrote it. */
export type RecordWithMeta = {
	readonly fields: VersionedFields;
	readonly meta: RecordMeta | undefined;
};

/** What a write does once its rows are read: commit a transaction, or end with a result. */
export type WritePlan =
	| {
			readonly type: 'commit';
			readonly transaction: Transaction;
			readonly revision: number;
	  }
	| {readonly type: 'end'; readonly result: WriteResult};

export function editKey(edit: Edit): string {
	return recordKey(edit);
}

export function termKey(operator: string): string {
	return recordKey({kind: 'term', name: operator});
}

/** Parses a record's row without a check of its fields; undefined when there is no row. */
export function parseRecordRow(
	row: Row | undefined,
): RecordWithMeta | undefined {
	if (!row) {
		return undefined;
	}

	const value: unknown = JSON.parse(row.value);
	const fields: VersionedFields = {schema: 1, ...new Object(value)};
	const meta = recordMetaSchema.safeParse(fields.meta);
	return {fields, meta: meta.success ? meta.data : undefined};
}

/** Keys of the rows on which a write depends: the head, the records and terms that it edits, the term of its operator and those of successors. */
export function keysToRead(operator: string, edits: readonly Edit[]): string[] {
	const successors = edits.flatMap((edit) => {
		const successor = edit.record?.successor;
		return edit.kind === 'term' && typeof successor === 'string'
			? [termKey(successor)]
			: [];
	});
	return [
		...new Set([
			headKey,
			termKey(operator),
			...edits.map((edit) => editKey(edit)),
			...successors,
		]),
	];
}

export function headRevision(row: Row | undefined): number {
	return row ? headSchema.parse(JSON.parse(row.value)).revision : 0;
}

function parseTermRow(row: Row | undefined): Term | undefined {
	const stored = parseRecordRow(row);
	return stored && termSchema.safeParse(stored.fields).data;
}

function isWithinTerm(term: Term, revision: number): boolean {
	return (
		term.startsAtRevision <= revision &&
		revision <= (term.endsAtRevision ?? revision)
	);
}

function checkTerm(
	operator: string,
	term: Term | undefined,
	revision: number,
): WriteResult | undefined {
	if (!term) {
		return {type: 'noTerm', operator, revision, reason: 'missing'};
	}

	if (isWithinTerm(term, revision)) {
		return undefined;
	}

	const reason = revision < term.startsAtRevision ? 'notStarted' : 'ended';
	const {endsAtRevision} = term;
	return {type: 'noTerm', operator, revision, reason, endsAtRevision};
}

/**
 * Checks the rules for a handover: the successor's term covers the revision
 * after the end, so that there is always an operator, and a term that is new
 * or has ended does not start in the past.
 */
function termProblems(
	edit: Edit,
	edits: readonly Edit[],
	rows: Rows,
	revision: number,
): string[] {
	const label = `term/${edit.name}`;
	if (edit.record === null) {
		return [`${label}: a term cannot be deleted; set endsAtRevision`];
	}

	const term = termSchema.safeParse(edit.record).data;
	const previous = parseTermRow(rows.get(editKey(edit)));
	const problems: string[] = [];
	if (!term) {
		return problems;
	}

	const hasEnded =
		previous &&
		!isWithinTerm(previous, Math.max(revision, previous.startsAtRevision));
	if ((!previous || hasEnded) && term.startsAtRevision < revision) {
		problems.push(`${label}: startsAtRevision must be at least ${revision}`);
	}

	const {endsAtRevision: end, successor} = term;
	if (end === undefined) {
		return problems;
	}

	if (end < revision) {
		problems.push(`${label}: endsAtRevision must be at least ${revision}`);
	}

	const successorKey = successor === undefined ? undefined : termKey(successor);
	const successorEdit = edits.find(
		(other) => editKey(other) === successorKey,
	)?.record;
	const successorTerm = successorEdit
		? termSchema.safeParse(successorEdit).data
		: successorKey === undefined
			? undefined
			: parseTermRow(rows.get(successorKey));
	if (
		!successorTerm ||
		successorKey === termKey(edit.name) ||
		!isWithinTerm(successorTerm, end + 1)
	) {
		problems.push(
			`${label}: successor must name an operator whose term covers revision ${end + 1}`,
		);
	}

	return problems;
}

/** Problems of the edits that can be found without reading the table. */
export function editProblems(edits: readonly Edit[]): string[] {
	const problems: string[] = [];
	if (edits.length === 0 || edits.length > maxEdits) {
		problems.push(`a write has 1 to ${maxEdits} edits, not ${edits.length}`);
	}

	const keys = new Set<string>();
	for (const edit of edits) {
		const key = editKey(edit);
		if (keys.has(key)) {
			problems.push(`${edit.kind}/${edit.name}: edited twice in one write`);
		}

		keys.add(key);
		if (edit.record === null) {
			continue;
		}

		const result = decodeRecord(edit.record);
		if (result.type === 'invalid') {
			problems.push(
				...result.problems.map((text) => `${edit.kind}/${edit.name}: ${text}`),
			);
		}

		if (edit.record.kind !== edit.kind || edit.record.name !== edit.name) {
			problems.push(
				`${edit.kind}/${edit.name}: kind or name differs from the record`,
			);
		}
	}

	return problems;
}

/** Plans a write from the rows that it has read; `expected` has the record revisions on which it is based, by key. */
export function planWrite(
	write: {
		readonly id: string;
		readonly operator: string;
		readonly edits: readonly Edit[];
	},
	rows: Rows,
	expected: ReadonlyMap<string, number>,
): WritePlan {
	const {id, operator, edits} = write;
	const revision = headRevision(rows.get(headKey)) + 1;
	const ownTerm = termKey(operator);
	// The first write of a table includes the term of its own operator.
	const term =
		revision === 1
			? termSchema.safeParse(
					edits.find((edit) => editKey(edit) === ownTerm)?.record,
				).data
			: parseTermRow(rows.get(ownTerm));
	const refusal = checkTerm(operator, term, revision);
	if (refusal) {
		return {type: 'end', result: refusal};
	}

	for (const edit of edits) {
		const key = editKey(edit);
		const stored = parseRecordRow(rows.get(key));
		if ((stored?.meta?.revision ?? 0) !== expected.get(key)) {
			return {
				type: 'end',
				result: {
					type: 'conflict',
					key,
					mine: edit.record,
					theirs: stored?.fields,
					winner: stored?.meta,
				},
			};
		}
	}

	const problems = edits
		.filter((edit) => edit.kind === 'term')
		.flatMap((edit) => termProblems(edit, edits, rows, revision));
	if (problems.length > 0) {
		return {type: 'end', result: {type: 'invalid', problems}};
	}

	return {
		type: 'commit',
		revision,
		transaction: buildTransaction(write, rows, revision),
	};
}

function buildTransaction(
	write: {
		readonly id: string;
		readonly operator: string;
		readonly edits: readonly Edit[];
	},
	rows: Rows,
	revision: number,
): Transaction {
	const {id: writeId, operator, edits} = write;
	const meta = {revision, operator, writeId};
	const changes = edits.map((edit) => {
		const key = editKey(edit);
		const stored = parseRecordRow(rows.get(key))?.fields;
		const record: StoredRecord | null =
			edit.record === null
				? null
				: {
						...mergeRecord(edit.kind, stored, edit.record),
						kind: edit.kind,
						name: edit.name,
						meta,
					};
		return {key, record};
	});
	const entry: LogEntry = {revision, writeId, operator, changes};
	const checks: RowCheck[] = [...rows].map(([key, row]) => ({
		key,
		revision: row?.revision ?? 0,
	}));
	const writes: RowWrite[] = [
		...changes.map(({key, record}) => ({
			key,
			value: record && JSON.stringify(record),
		})),
		{key: headKey, value: JSON.stringify({revision})},
		{key: logKey(revision), value: JSON.stringify(entry)},
	];
	if (revision > maxLogEntries) {
		writes.push({key: logKey(revision - maxLogEntries), value: null});
	}

	return {checks, writes};
}
