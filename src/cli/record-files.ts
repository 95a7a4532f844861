import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {
	isRecordKind,
	knownSchemaVersion,
	readRecord,
	recordMetaSchema,
	type VersionedFields,
} from '../interfaces/index.js';
import type {Edit} from '../services/index.js';
import type {Output} from './exit-code.js';

/** Reads a file, or standard input for "-". */
export type ReadText = (file: string) => Promise<string>;

export const readText: ReadText = async (file) =>
	file === '-' ? text(process.stdin) : readFile(file, 'utf8');

/** Records of some files as edits, with what is wrong with them. */
export type RecordFiles = {
	readonly edits: readonly Edit[];
	readonly problems: readonly string[];
	readonly warnings: readonly string[];
};

/** Reads files that hold one JSON record or an array of them. A record's `meta.revision` becomes the expected revision. */
export async function readRecordFiles(
	files: readonly string[],
	read: ReadText,
): Promise<RecordFiles> {
	const edits: Edit[] = [];
	const problems: string[] = [];
	const warnings: string[] = [];
	for (const file of files.length === 0 ? ['-'] : files) {
		let values: unknown;
		try {
			values = JSON.parse(await read(file));
		} catch (error) {
			problems.push(`${file}: ${String(error)}`);
			continue;
		}

		const list: readonly unknown[] = Array.isArray(values) ? values : [values];
		for (const [index, value] of list.entries()) {
			const where = Array.isArray(values) ? `${file}[${index}]` : file;
			const reading = readRecord(value);
			switch (reading.type) {
				case 'invalid': {
					problems.push(
						...reading.problems.map((problem) => `${where}: ${problem}`),
					);
					break;
				}

				case 'unknownKind': {
					problems.push(`${where}: kind "${reading.kind}" is not known`);
					break;
				}

				case 'record': {
					const {kind, name, schema} = reading.record;
					if (schema > knownSchemaVersion(kind)) {
						warnings.push(
							`${where}: schema ${schema} is later than ${knownSchemaVersion(kind)}, which this version knows`,
						);
					}

					edits.push(toEdit(kind, name, {schema, ...new Object(value)}));
					break;
				}
			}
		}
	}

	return {edits, problems, warnings};
}

function toEdit(
	kind: Edit['kind'],
	name: string,
	fields: VersionedFields,
): Edit {
	const {meta, ...record} = fields;
	const expected = recordMetaSchema.safeParse(meta).data?.revision;
	return {kind, name, record: {...record, schema: fields.schema}, expected};
}

/** Prints warnings and problems; says whether there was a problem. */
export function reportFiles(files: RecordFiles, output: Output): boolean {
	for (const warning of files.warnings) {
		output.error(`warning: ${warning}`);
	}

	for (const problem of files.problems) {
		output.error(`error: ${problem}`);
	}

	return files.problems.length > 0;
}

/** Reads "kind name" arguments; undefined after printing an error. */
export function parseTarget(
	kind: string,
	name: string,
	output: Output,
): {kind: Edit['kind']; name: string} | undefined {
	if (!isRecordKind(kind)) {
		output.error(`error: kind "${kind}" is not known`);
		return undefined;
	}

	return {kind, name};
}
