import type {Configuration} from '../../interfaces/index.js';
import type {Finding} from './finding.js';
import {limitFindings} from './limit-findings.js';
import {routeFindings} from './route-findings.js';
import {serviceFindings} from './service-findings.js';
import {workspaceFindings} from './workspace-findings.js';

/** Finds entries of a configuration that have no effect or contradict each other; `memoryMb` is the memory of the smallest instance, in MiB. */
export function checkConfiguration(
	configuration: Configuration,
	memoryMb: number,
): Finding[] {
	return [
		...routeFindings(configuration),
		...serviceFindings(configuration),
		...workspaceFindings(configuration),
		...limitFindings(configuration.limits, memoryMb),
	];
}
