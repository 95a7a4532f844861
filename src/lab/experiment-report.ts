import type {ExperimentRow} from './experiment.js';
import type {Spread} from './spread.js';

function percent({mean, least, most}: Spread): string {
	const text = (value: number) => (value * 100).toFixed(1);
	return `${text(mean)} (${text(least)}-${text(most)})`;
}

function whole({mean}: Spread): string {
	return mean.toFixed(0);
}

/** One row as columns of text; percentages as mean (least-most) over the seeds. */
export function reportColumns(row: ExperimentRow): Record<string, string> {
	const byClass = Object.entries(row.attainment).map(
		([name, spread]) => `${name} ${percent(spread)}`,
	);
	return {
		workload: row.workload,
		load: row.load.toFixed(1),
		'tight peak %': (row.tightPeak * 100).toFixed(0),
		variant: row.variant,
		'attainment %': byClass.join(', '),
		'unanswered/late/slow': Object.values(row.misses)
			.map(({unanswered, late, slow}) => `${unanswered}/${late}/${slow}`)
			.join(', '),
		'goodput tok/s': whole(row.goodput),
		'of bound %': percent(row.goodputPart),
		'in tier order %': percent(row.goodputTierPart),
		'wasted %': percent(row.wasted),
		'fairness %': percent(row.fairness),
		'shed by tier': Object.values(row.shed)
			.map((spread) => whole(spread))
			.join('/'),
		'refused after ms': whole(row.refusedAfterMs),
		'share %': row.share ? percent(row.share) : '-',
	};
}

/** Aligned text table. */
export function reportTable(rows: readonly ExperimentRow[]): string {
	const cells = rows.map((row) => reportColumns(row));
	const names = Object.keys(cells[0] ?? {});
	const widths = names.map((name) =>
		Math.max(name.length, ...cells.map((cell) => cell[name]!.length)),
	);
	const line = (values: readonly string[]) =>
		values
			.map((value, index) => value.padEnd(widths[index]!))
			.join('  ')
			.trimEnd();
	return [
		line(names),
		...cells.map((cell) => line(names.map((name) => cell[name]!))),
	].join('\n');
}

/** Comma-separated values with one line for each figure of each row; parts are 0 to 1. */
export function reportCsv(rows: readonly ExperimentRow[]): string {
	const lines = rows.flatMap((row) => {
		const figures: Record<string, Spread | undefined> = {
			goodput: row.goodput,
			goodputPart: row.goodputPart,
			goodputTierPart: row.goodputTierPart,
			wasted: row.wasted,
			refusedAfterMs: row.refusedAfterMs,
			fairness: row.fairness,
			share: row.share,
		};
		for (const [name, spread] of Object.entries(row.attainment)) {
			figures[`attainment.${name}`] = spread;
		}

		for (const [tier, spread] of Object.entries(row.shed)) {
			figures[`shed.${tier}`] = spread;
		}

		return Object.entries(figures).map(([name, spread]) =>
			[
				row.workload,
				row.load,
				row.variant,
				name,
				spread?.mean ?? '',
				spread?.least ?? '',
				spread?.most ?? '',
			].join(','),
		);
	});
	return ['workload,load,variant,figure,mean,least,most', ...lines].join('\n');
}
