import type {PhaseResult} from './bench.js';

/** Maximum latency that the router may add at p95, in milliseconds. */
const targets = {firstTokenMs: 2, gapMs: 0.5} as const;

/** Measured value of one target and whether it meets the target. */
export type TargetResult = {
	readonly name: string;
	readonly measured: number;
	readonly met: boolean;
};

/** Compares a run with the targets of the design page. */
export function compareWithTargets(
	phases: readonly PhaseResult[],
): TargetResult[] {
	const byPath = new Map(phases.map((phase) => [phase.path, phase]));
	const direct = byPath.get('direct')!;
	const router = byPath.get('router')!;
	const passThroughRate =
		byPath.get('pass-through')!.roles[0]!.tokensPerCoreSecond;
	const entry = router.roles.find(({role}) => role === 'entry')!;
	const addedFirstTokenMs = router.firstTokenMs.p95 - direct.firstTokenMs.p95;
	const addedGapMs = router.gapMs.p95 - direct.gapMs.p95;
	const ratio = entry.tokensPerCoreSecond / passThroughRate;
	return [
		{
			name: `added to the first token at p95, ms (at most ${targets.firstTokenMs})`,
			measured: addedFirstTokenMs,
			met: addedFirstTokenMs <= targets.firstTokenMs,
		},
		{
			name: `added to a gap at p95, ms (at most ${targets.gapMs})`,
			measured: addedGapMs,
			met: addedGapMs <= targets.gapMs,
		},
		{
			name: 'tokens a core of the entry / of the pass-through (at least 1)',
			measured: ratio,
			met: ratio >= 1,
		},
	];
}

/** Formats the results of a run and of its targets as text for the console. */
export function formatBench(phases: readonly PhaseResult[]): string {
	const lines: string[] = [];
	for (const phase of phases) {
		lines.push(
			`${phase.path}: ${phase.answersPerSecond.toFixed(1)} requests/s, ${phase.tokensPerSecond.toFixed(0)} tokens/s, ${phase.failures} failures`,
		);
		for (const name of ['firstTokenMs', 'gapMs'] as const) {
			const {p50, p95, p99} = phase[name];
			lines.push(
				`  ${name} p50 ${p50.toFixed(2)} p95 ${p95.toFixed(2)} p99 ${p99.toFixed(2)}`,
			);
		}

		for (const usage of phase.roles) {
			lines.push(
				`  ${usage.role}: ${usage.tokensPerCoreSecond.toFixed(0)} tokens and ${usage.answersPerCoreSecond.toFixed(1)} requests per core second, ${usage.cpuSeconds.toFixed(2)} s processor time, ${usage.rssMebibytes.toFixed(0)} MiB`,
			);
		}
	}

	for (const {name, measured, met} of compareWithTargets(phases)) {
		lines.push(`${met ? 'met' : 'MISSED'}: ${name}: ${measured.toFixed(2)}`);
	}

	return lines.join('\n');
}
