import {z} from 'zod';
import {recordMetaSchema} from './record.js';

/** A record as stored: any kind and any schema version, with metadata of its last write. */
export const storedRecordSchema = z.looseObject({
	schema: z.int().positive(),
	kind: z.string(),
	name: z.string(),
	/** Absent only in a row that was not written by the record writer. */
	meta: recordMetaSchema.optional(),
});
export type StoredRecord = z.infer<typeof storedRecordSchema>;

/** One change of a log entry; a null record deletes the row. */
export const recordChangeSchema = z.object({
	key: z.string(),
	record: storedRecordSchema.nullable(),
});
export type RecordChange = z.infer<typeof recordChangeSchema>;

/** Value of `config/log/<revision>`: all changes of one accepted write. */
export const logEntrySchema = z.object({
	revision: z.int().positive(),
	writeId: z.string(),
	operator: z.string(),
	changes: z.array(recordChangeSchema),
});
export type LogEntry = z.infer<typeof logEntrySchema>;

/** Value of `config/head`: the latest revision of the configuration. */
export const headSchema = z.object({revision: z.int().min(0)});

export const headKey = 'config/head';
export const logPrefix = 'config/log/';
export const recordPrefix = 'record/';

/** Key of a log entry; zero-padded, so that keys sort in order of revision. */
export function logKey(revision: number): string {
	return `${logPrefix}${String(revision).padStart(15, '0')}`;
}
