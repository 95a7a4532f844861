import {z} from 'zod';
import {recordMetaSchema} from './record.js';

/** A record as stored: any kind and any schema version, with the data of its last write. */
export const storedRecordSchema = z.looseObject({
	schema: z.int().positive(),
	kind: z.string(),
	name: z.string(),
	/** Absent only in a row that was not written by the writer. */
	meta: recordMetaSchema.optional(),
});
export type StoredRecord = z.infer<typeof storedRecordSchema>;

/** One change of a log entry; a null record deletes the row. */
export const changeSchema = z.object({
	key: z.string(),
	record: storedRecordSchema.nullable(),
});
export type Change = z.infer<typeof changeSchema>;

/** Value of `config/log/<revision>`: everything that one accepted write changed. */
export const logEntrySchema = z.object({
	revision: z.int().positive(),
	writeId: z.string(),
	operator: z.string(),
	changes: z.array(changeSchema),
});
export type LogEntry = z.infer<typeof logEntrySchema>;

/** Value of `config/head`. */
export const headSchema = z.object({revision: z.int().min(0)});

export const headKey = 'config/head';
export const logPrefix = 'config/log/';
export const recordPrefix = 'record/';

/** Key of a log entry; padded, so that the order of keys is the order of revisions. */
export function logKey(revision: number): string {
	return `${logPrefix}${String(revision).padStart(15, '0')}`;
}
