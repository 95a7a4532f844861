import {measureLeave} from '../membership-bench.js';
import {measureSpread, type SpreadRow} from '../spread-bench.js';
import {controlLimits, fleetSize, perProcess} from './fleet-size.js';
import {measureLinkOpening} from './link-opening.js';
import {figureTable, slopeTable} from './page.js';
import type {Plot} from './plot.js';
import {projectFigures, type Figure} from './projection.js';
import {measureSlopes, type MeasuredSlope, type SlopeId} from './slopes.js';
import {requestTraffic} from './traffic.js';

const spreadSizes = [60, 600, fleetSize.entries + fleetSize.endpoints];

/** Number of members in the membership measurement: their member lists fit into the default heap, and the idle traffic of a member does not depend on the number. */
const membershipSize = 600;

/** Contents of the generated sections and plots of the capacity page. */
export type CapacityReport = {
	readonly figures: readonly Figure[];
	readonly slopes: ReadonlyMap<SlopeId, MeasuredSlope>;
	readonly spread: readonly SpreadRow[];
	readonly plots: ReadonlyMap<string, Plot>;
};

/** Measures all slopes and projects the figures to the design size. Takes about a minute. */
export async function measureCapacity(seed: number): Promise<CapacityReport> {
	const slopes = measureSlopes();
	const spread = spreadSizes.map((members) =>
		measureSpread({
			members,
			seed,
			strategy: 'push bodies',
			scenario: 'clean',
		}),
	);
	const traffic = requestTraffic(perProcess.endpointsPerModel);
	const figures = projectFigures({
		slopes,
		traffic,
		spread: spread.at(-1)!,
		membership: measureLeave({members: membershipSize, seed, loss: 0}),
		opening: await measureLinkOpening(),
	});
	return {figures, slopes, spread, plots: buildPlots(slopes, spread, figures)};
}

/** Markdown of the generated sections of the page, by section name. */
export function reportSections(report: CapacityReport): Map<string, string> {
	return new Map([
		['figures', figureTable(report.figures)],
		['slopes', slopeTable(report.slopes)],
		['spread', spreadTable(report.spread)],
	]);
}

function spreadTable(rows: readonly SpreadRow[]): string {
	return [
		'| processes | p50 ms | p99 ms | worst ms | missing | messages/s each | bytes/s each | bytes/s busiest | table reads/s | peak |',
		'|---|---|---|---|---|---|---|---|---|---|',
		...rows.map(
			(row) =>
				`| ${[
					row.members,
					row.p50Ms.toFixed(0),
					row.p99Ms.toFixed(0),
					row.worstMs.toFixed(0),
					row.missing,
					row.messagesPerSecond.toFixed(2),
					row.bytesPerSecond.toFixed(0),
					row.worstBytesPerSecond.toFixed(0),
					row.readsPerSecond.toFixed(1),
					row.readsPeak,
				].join(' | ')} |`,
		),
	].join('\n');
}

function buildPlots(
	slopes: ReadonlyMap<SlopeId, MeasuredSlope>,
	spread: readonly SpreadRow[],
	figures: readonly Figure[],
): Map<string, Plot> {
	const entryFigure = (resource: string) =>
		figures.find((item) => item.role === 'entry' && item.resource === resource)!
			.value;
	const processes = fleetSize.entries + fleetSize.endpoints;
	return new Map<string, Plot>([
		[
			'in-force',
			{
				title: 'Time until a change is in force everywhere',
				xTitle: 'processes',
				yTitle: 'worst, seconds',
				points: spread.map((row) => ({x: row.members, y: row.worstMs / 1000})),
				projected: {x: processes, y: spread.at(-1)!.worstMs / 1000},
				limit: fleetSize.inForceSeconds,
			},
		],
		[
			'control-bytes',
			{
				title: 'Control traffic of one entry',
				xTitle: 'processes',
				yTitle: 'bytes/s for spread; diamond: all control',
				points: spread.map((row) => ({x: row.members, y: row.bytesPerSecond})),
				projected: {x: processes, y: entryFigure('control traffic, sum')},
				limit: controlLimits.bytesPerSecond,
			},
		],
		[
			'control-memory',
			{
				title: 'Control memory of one process',
				xTitle: 'workspaces',
				yTitle: 'bytes; diamond: with all endpoints',
				points: slopes
					.get('workspaceMemory')!
					.points.map(({size, value}) => ({x: size, y: value})),
				projected: {
					x: fleetSize.workspaces,
					y: entryFigure('control memory: records and instance list'),
				},
				limit: controlLimits.memoryBytes,
			},
		],
		[
			'control-time',
			{
				title: 'Control processor time of one entry',
				xTitle: 'endpoints of a model',
				yTitle: 'µs/s for offers; diamond: all control',
				points: slopes.get('requestTime')!.points.map(({size, value}) => ({
					x: size,
					y: value * perProcess.requestsPerEntry,
				})),
				projected: {
					x: perProcess.endpointsPerModel,
					y: entryFigure('control processor time'),
				},
				limit: controlLimits.microseconds,
			},
		],
	]);
}
