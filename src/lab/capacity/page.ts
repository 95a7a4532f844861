import type {Figure} from './projection.js';
import type {MeasuredSlope, SlopeId} from './slopes.js';

const numbers = new Intl.NumberFormat('en-GB', {maximumSignificantDigits: 4});

/** Markdown table of the figures at the design size, each compared with its limit. */
export function figureTable(figures: readonly Figure[]): string {
	const rows = figures.map((figure) => {
		const {limit} = figure;
		const share =
			limit === undefined
				? 'no limit set'
				: `${numbers.format(limit)} (${numbers.format((100 * figure.value) / limit)}%)`;
		const verdict =
			limit === undefined ? '' : figure.value <= limit ? 'within' : '**over**';
		return [
			figure.role,
			figure.resource,
			`${numbers.format(figure.value)} ${figure.unit}`,
			share,
			verdict,
			limitMultiple(figure),
			figure.mechanism,
		].join(' | ');
	});
	return [
		'| role | resource | at design size | limit | | fleet size at which it breaks | mechanism |',
		'|---|---|---|---|---|---|---|',
		...rows.map((row) => `| ${row} |`),
	].join('\n');
}

/** Multiple of the design size at which a figure reaches its limit, assuming that it grows in proportion to the size. */
function limitMultiple({value, limit}: Figure): string {
	return limit === undefined || value <= 0
		? ''
		: `${numbers.format(limit / value)} ×`;
}

/** Markdown table of the measured points and the lines fitted to them. */
export function slopeTable(
	slopes: ReadonlyMap<SlopeId, MeasuredSlope>,
): string {
	const rows = [...slopes.values()].map((slope) =>
		[
			slope.role,
			slope.name,
			slope.points
				.map(({size, value}) => `${size}: ${numbers.format(value)}`)
				.join(', '),
			`${numbers.format(slope.fit.intercept)} + ${numbers.format(slope.fit.slope)} × ${slope.per}`,
			numbers.format(slope.fit.r2),
			slope.unit,
		].join(' | '),
	);
	return [
		'| role | measured | points (size: value) | fit | r² | unit |',
		'|---|---|---|---|---|---|',
		...rows.map((row) => `| ${row} |`),
	].join('\n');
}

/** Replaces the text between the begin and end markers of a generated section; throws when the page lacks one of them. */
export function replaceSection(
	page: string,
	section: string,
	text: string,
): string {
	const begin = `<!-- begin ${section} -->`;
	const end = `<!-- end ${section} -->`;
	const from = page.indexOf(begin);
	const to = page.indexOf(end);
	if (from === -1 || to === -1) {
		throw new Error(
			`the page has no begin and end markers for section ${section}`,
		);
	}

	return `${page.slice(0, from + begin.length)}\n${text}\n${page.slice(to)}`;
}
