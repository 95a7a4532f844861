import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {
	isRecordKind,
	knownSchemaVersion,
	decodeRecord,
	recordMetaSchema,
	type VersionedFields,
} from '../interfaces/index.js';
import type {Edit} from '../services/index.js';
import type {Output} from './exit-code.js';

/** Returns the text of a file, or of standard input for "-". */
export type TextReader = (file: string) => Promise<string>;

export const readText: TextReader = async (file) =>
	file === '-' ? text(process.stdin) : readFile(file, 'utf8');

/** Edits for the records in files; problems are errors that keep the edits from being written, warnings are not. */
export type RecordFiles = {
	readonly edits: readonly Edit[];
	readonly problems: readonly string[];
	readonly warnings: readonly string[];
};

/** Reads files that hold one JSON record or an array of them; standard input without files. A record's `meta.revision` becomes the expected revision of its edit. */
export async function readRecordFiles(
	files: readonly string[],
	read: TextReader,
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
			const location = Array.isArray(values) ? `${file}[${index}]` : file;
			const parsed = decodeRecord(value);
			switch (parsed.type) {
				case 'invalid': {
					problems.push(
						...parsed.problems.map((problem) => `${location}: ${problem}`),
					);
					break;
				}

				case 'unknownKind': {
					problems.push(`${location}: kind "${parsed.kind}" is not known`);
					break;
				}

				case 'record': {
					const {kind, name, schema} = parsed.record;
					if (schema > knownSchemaVersion(kind)) {
						warnings.push(
							`${location}: schema ${schema} is later than ${knownSchemaVersion(kind)}, the latest that this version knows`,
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

/** Prints warnings and problems; returns whether there was a problem. */
export function reportFiles(files: RecordFiles, output: Output): boolean {
	for (const warning of files.warnings) {
		output.error(`warning: ${warning}`);
	}

	for (const problem of files.problems) {
		output.error(`error: ${problem}`);
	}

	return files.problems.length > 0;
}

/** Checks the kind and name arguments; prints an error and returns undefined when the kind is unknown. */
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
