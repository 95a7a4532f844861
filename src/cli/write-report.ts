import type {WriteRequest} from '../daemons/index.js';
import type {Row, Table} from '../interfaces/index.js';
import {
	editKey,
	editProblems,
	keysToRead,
	planWrite,
	parseRecordRow,
	type WriteResult,
} from '../services/index.js';
import {exitCodes, type ExitCode, type Output} from './exit-code.js';

/** Computes the result that a write would have now, without writing. Rejects when the table cannot be read. */
export async function previewWrite(
	table: Table,
	request: WriteRequest,
): Promise<WriteResult> {
	const {operator, edits} = request;
	const problems = editProblems(edits);
	if (problems.length > 0) {
		return {type: 'invalid', problems};
	}

	const rows = new Map<string, Row | undefined>();
	for (const key of keysToRead(operator, edits)) {
		rows.set(key, await table.read(key));
	}

	const expected = new Map(
		edits.map((edit) => {
			const key = editKey(edit);
			const currentRevision =
				parseRecordRow(rows.get(key))?.meta?.revision ?? 0;
			return [key, edit.expected ?? currentRevision];
		}),
	);
	const plan = planWrite({id: 'dry-run', operator, edits}, rows, expected);
	return plan.type === 'end'
		? plan.result
		: {type: 'accepted', revision: plan.revision};
}

/** Prints the result of a write and returns the exit code for it. */
export function reportWrite(
	write: {
		readonly id: string;
		readonly result: WriteResult;
		readonly isDryRun?: boolean;
	},
	json: boolean,
	output: Output,
): ExitCode {
	const {id, result, isDryRun = false} = write;
	if (json) {
		output.out(JSON.stringify({writeId: id, dryRun: isDryRun, ...result}));
	}

	const print = (text: string, isError = true) => {
		if (json) {
			return;
		}

		if (isError) {
			output.error(text);
		} else {
			output.out(text);
		}
	};

	switch (result.type) {
		case 'accepted': {
			const verb = isDryRun ? 'would be accepted' : 'accepted';
			print(`${verb} as revision ${result.revision}, write ${id}`, false);
			return exitCodes.done;
		}

		case 'conflict': {
			const {winner} = result;
			const lastWrite = winner
				? `operator ${winner.operator} with write ${winner.writeId} at revision ${winner.revision}`
				: 'a write that the log no longer holds';
			print(
				`conflict on ${result.key}: last changed by ${lastWrite}; nothing was changed`,
			);
			print(`in force: ${JSON.stringify(result.theirs ?? null)}`);
			print(`yours: ${JSON.stringify(result.mine)}`);
			return exitCodes.conflict;
		}

		case 'noTerm': {
			const {operator, revision, endsAtRevision} = result;
			const reasons = {
				missing: 'has no term',
				notStarted: 'has a term that has not started',
				ended: `had a term that ended at revision ${endsAtRevision}`,
			};
			print(
				`operator ${operator} ${reasons[result.reason]}; revision ${revision} was not written`,
			);
			return exitCodes.noTerm;
		}

		case 'invalid': {
			for (const problem of result.problems) {
				print(`error: ${problem}`);
			}

			return exitCodes.invalid;
		}

		case 'notAccepted': {
			print(
				result.reason === 'busy'
					? 'not accepted: other writes were accepted first at each attempt; try again'
					: 'not accepted: the table could not be reached',
			);
			return exitCodes.unavailable;
		}

		case 'unknown': {
			print(
				`result not yet known: check for write ${id} at revision ${result.revision} with "history --write-id ${id}"`,
			);
			return exitCodes.unknown;
		}
	}
}
