import * as fc from 'fast-check';
import {z} from 'zod';
import {
	backlogPlan,
	burstPlan,
	calmPlan,
	faultyPlan,
	floodPlan,
	keyedPlan,
} from './arbitraries.js';
import type {MachineMutation} from './machines.js';
import {planSchema, type Plan} from './plan.js';
import {
	atMostOnce,
	drained,
	finalAnswer,
	leavingStartsNothing,
	notRun,
	plannedStop,
	recovery,
	returnedAnswer,
	starvation,
	tierOrder,
	trueStatus,
	undisturbed,
	wholeAnswer,
	type Property,
} from './properties/index.js';
import {Simulation} from './simulation.js';

/** A generator of plans and the properties that must hold for every run of them. */
export type Campaign = {
	readonly name: string;
	readonly plans: fc.Arbitrary<Plan>;
	readonly properties: readonly Property[];
};

const commonProperties = [
	wholeAnswer,
	notRun,
	atMostOnce,
	leavingStartsNothing,
	plannedStop,
	finalAnswer,
	recovery,
	drained,
	returnedAnswer,
	trueStatus,
];

export const campaigns: readonly Campaign[] = [
	{name: 'faulty', plans: faultyPlan, properties: commonProperties},
	{name: 'keyed', plans: keyedPlan, properties: commonProperties},
	{
		name: 'calm',
		plans: calmPlan,
		properties: [...commonProperties, undisturbed],
	},
	{
		name: 'backlog',
		plans: backlogPlan,
		properties: [...commonProperties, undisturbed, tierOrder],
	},
	{name: 'flood', plans: floodPlan, properties: [undisturbed, tierOrder]},
	{
		name: 'burst',
		plans: burstPlan,
		properties: [...commonProperties, undisturbed, starvation],
	},
];

/** The part of a finding that is stored to replay it. */
export const findingSchema = z.object({
	campaign: z.string(),
	property: z.string(),
	plan: planSchema,
});

/** A plan under which a property does not hold, shrunk as far as possible. */
export type Finding = z.infer<typeof findingSchema> & {
	readonly seed: number;
	readonly violations: readonly string[];
	readonly trace: readonly string[];
};

/** Simpler plans that are tried for one finding by default. */
const defaultMaxShrinks = 2000;

/** Options of a search; `seed` and `runs` determine which plans are tried. */
export type SearchOptions = {
	readonly seed: number;
	readonly runs: number;
	readonly mutation?: MachineMutation;
	/** Maximum number of simpler plans that are tried for one finding. */
	readonly maxShrinks?: number;
};

/** Searches for a plan that violates a property, and shrinks it. */
export function search(
	campaign: Campaign,
	property: Property,
	{seed, runs, mutation, maxShrinks = defaultMaxShrinks}: SearchOptions,
): Finding | undefined {
	let shrinks: number | undefined;
	const holds = (plan: Plan): boolean => {
		if (shrinks !== undefined) {
			shrinks++;
		}

		if (shrinks !== undefined && shrinks > maxShrinks) {
			return true;
		}

		const isViolated =
			property.violations(new Simulation(plan, mutation).run()).length > 0;
		shrinks ??= isViolated ? 0 : undefined;
		return !isViolated;
	};

	const result = fc.check(fc.property(campaign.plans, holds), {
		seed,
		numRuns: runs,
	});
	if (!result.counterexample) {
		return undefined;
	}

	const [plan] = result.counterexample;
	const history = new Simulation(plan, mutation).run();
	return {
		campaign: campaign.name,
		property: property.name,
		seed,
		plan,
		violations: property.violations(history),
		trace: history.lines,
	};
}

/** Checks all properties of a campaign on the same runs; shrinks one plan for each property that is violated. */
export function checkCampaign(
	campaign: Campaign,
	options: SearchOptions,
): Finding[] {
	const violated = new Set<Property>();
	fc.check(
		fc.property(campaign.plans, (plan) => {
			const history = new Simulation(plan, options.mutation).run();
			for (const property of campaign.properties) {
				if (property.violations(history).length > 0) {
					violated.add(property);
				}
			}
		}),
		{seed: options.seed, numRuns: options.runs},
	);
	return [...violated].flatMap(
		(property) => search(campaign, property, options) ?? [],
	);
}

/** Runs one plan and lists the violations of all properties of its campaign. */
export function replay(
	name: string,
	plan: Plan,
): {readonly trace: readonly string[]; readonly violations: string[]} {
	const history = new Simulation(plan).run();
	const campaign = campaigns.find((item) => item.name === name);
	const violations = (campaign?.properties ?? []).flatMap((property) =>
		property.violations(history).map((text) => `${property.name}: ${text}`),
	);
	return {trace: history.lines, violations};
}
