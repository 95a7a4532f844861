import type {ExperimentRow} from './experiment.js';
import type {Statistics} from './statistics.js';

function formatPercent({mean, least, most}: Statistics): string {
	const text = (value: number) => (value * 100).toFixed(1);
	return `${text(mean)} (${text(least)}-${text(most)})`;
}

function formatMean({mean}: Statistics): string {
	return mean.toFixed(0);
}

/** Formats a row by column name; percentages read mean (minimum-maximum) over the seeds. */
export function reportColumns(row: ExperimentRow): Record<string, string> {
	const attainmentByClass = Object.entries(row.attainment).map(
		([name, spread]) => `${name} ${formatPercent(spread)}`,
	);
	return {
		workload: row.workload,
		load: row.load.toFixed(1),
		'tight peak %': (row.tightPeak * 100).toFixed(0),
		variant: row.variant,
		'attainment %': attainmentByClass.join(', '),
		'unanswered/late/slow': Object.values(row.misses)
			.map(({unanswered, late, slow}) => `${unanswered}/${late}/${slow}`)
			.join(', '),
		'goodput tok/s': formatMean(row.goodput),
		'of bound %': formatPercent(row.goodputPart),
		'in tier order %': formatPercent(row.goodputTierPart),
		'wasted %': formatPercent(row.wasted),
		'fairness %': formatPercent(row.fairness),
		'shed by tier': Object.values(row.shed)
			.map((spread) => formatMean(spread))
			.join('/'),
		'refused after ms': formatMean(row.refusedAfterMs),
		'share %': row.share ? formatPercent(row.share) : '-',
	};
}

/** Formats the rows as a text table with aligned columns. */
export function reportTable(rows: readonly ExperimentRow[]): string {
	const cells = rows.map((row) => reportColumns(row));
	const names = Object.keys(cells[0] ?? {});
	const widths = names.map((name) =>
		Math.max(name.length, ...cells.map((cell) => cell[name]!.length)),
	);
	const formatLine = (values: readonly string[]) =>
		values
			.map((value, index) => value.padEnd(widths[index]!))
			.join('  ')
			.trimEnd();
	return [
		formatLine(names),
		...cells.map((cell) => formatLine(names.map((name) => cell[name]!))),
	].join('\n');
}

/** Formats the rows as comma-separated values, one line for each figure of each row; fractions are 0 to 1. */
export function reportCsv(rows: readonly ExperimentRow[]): string {
	const lines = rows.flatMap((row) => {
		const figures: Record<string, Statistics | undefined> = {
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
