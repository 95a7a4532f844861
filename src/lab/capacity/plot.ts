import {parse, View} from 'vega';
import {compile} from 'vega-lite';

/** Data of a plot: one measured quantity by size, its projected value and its limit. */
export type Plot = {
	readonly title: string;
	readonly xTitle: string;
	readonly yTitle: string;
	readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
	/** Projected value at the design size, drawn as a diamond. */
	readonly projected: {readonly x: number; readonly y: number};
	readonly limit: number;
};

/** Renders a plot as SVG text with logarithmic axes. */
export async function drawPlot(plot: Plot): Promise<string> {
	const x = {
		field: 'x',
		type: 'quantitative',
		scale: {type: 'log'},
		title: plot.xTitle,
	} as const;
	const y = {
		field: 'y',
		type: 'quantitative',
		scale: {type: 'log'},
		title: plot.yTitle,
	} as const;
	const {spec} = compile({
		title: plot.title,
		width: 480,
		height: 300,
		layer: [
			{
				data: {values: [...plot.points]},
				mark: {type: 'line', point: true},
				encoding: {x, y},
			},
			{
				data: {values: [plot.projected]},
				mark: {type: 'point', shape: 'diamond', size: 120, filled: true},
				encoding: {x, y},
			},
			{
				data: {values: [{y: plot.limit}]},
				mark: {type: 'rule', color: 'red', strokeDash: [6, 4]},
				encoding: {y},
			},
		],
	});
	return new View(parse(spec), {renderer: 'none'}).toSVG();
}
