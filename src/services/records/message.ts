import type {
	RecordKind,
	RecordMeta,
	TableAnswer,
	VersionedFields,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';

/** Sets one record or, with a null `record`, deletes it. */
export type Edit = {
	readonly kind: RecordKind;
	readonly name: string;
	readonly record: VersionedFields | null;
	/** Configuration revision of the record that the edit is based on, 0 when there was none; by default, that of the record in force when the write starts. */
	readonly expected?: number;
};

/** Outcome of a write. */
export type WriteResult =
	| {readonly type: 'accepted'; readonly revision: number}
	/** The record has changed since the revision that the edit is based on; nothing was written. */
	| {
			readonly type: 'conflict';
			readonly key: string;
			readonly mine: VersionedFields | null;
			readonly theirs: VersionedFields | undefined;
			/** The write that changed the record; undefined when the log no longer holds it or the search for it failed. */
			readonly winner: RecordMeta | undefined;
	  }
	/** The operator has no term (range of revisions that it may write) that covers this revision; nothing was written. */
	| {
			readonly type: 'noTerm';
			readonly operator: string;
			/** Revision that the write would have got. */
			readonly revision: number;
			readonly reason: 'missing' | 'notStarted' | 'ended';
			readonly endsAtRevision?: number;
	  }
	/** The edits are malformed or break a rule for terms; nothing was written. */
	| {readonly type: 'invalid'; readonly problems: readonly string[]}
	/** The write had no effect and will have none. */
	| {readonly type: 'notAccepted'; readonly reason: 'unavailable' | 'busy'}
	/** The commit may or may not take effect; `settle` with the write id and this revision finds out later. */
	| {readonly type: 'unknown'; readonly revision: number};

/** Input of the writer's state machine; `id` is the write id. */
export type WriterMessage =
	| {
			readonly type: 'write';
			readonly id: string;
			readonly operator: string;
			readonly edits: readonly Edit[];
	  }
	/** Finds out whether an earlier write with the result `unknown` took effect. */
	| {readonly type: 'settle'; readonly id: string; readonly revision: number}
	| {readonly type: 'table'; readonly id: string; readonly answer: TableAnswer}
	| {readonly type: 'tick'};

/** Output of the writer's state machine. */
export type WriterEffect =
	| CommonEffect
	| {
			readonly type: 'result';
			readonly id: string;
			readonly result: WriteResult;
	  };
