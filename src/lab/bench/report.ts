import type {PhaseResult} from './bench.js';

/** Most that the router may add at p95, in milliseconds. */
const targets = {firstTokenMs: 2, gapMs: 0.5} as const;

/** Result of one target: what was measured and whether it is met. */
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
	const bare = byPath.get('pass-through')!.roles[0]!.tokensPerCoreSecond;
	const entry = router.roles.find(({role}) => role === 'entry')!;
	const first = router.firstTokenMs.p95 - direct.firstTokenMs.p95;
	const gap = router.gapMs.p95 - direct.gapMs.p95;
	const ratio = entry.tokensPerCoreSecond / bare;
	return [
		{
			name: `added to the first token at p95, ms (at most ${targets.firstTokenMs})`,
			measured: first,
			met: first <= targets.firstTokenMs,
		},
		{
			name: `added to a gap at p95, ms (at most ${targets.gapMs})`,
			measured: gap,
			met: gap <= targets.gapMs,
		},
		{
			name: 'tokens a core of the entry / of the pass-through (at least 1)',
			measured: ratio,
			met: ratio >= 1,
		},
	];
}

/** The run as lines of text. */
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

		for (const use of phase.roles) {
			lines.push(
				`  ${use.role}: ${use.tokensPerCoreSecond.toFixed(0)} tokens and ${use.answersPerCoreSecond.toFixed(1)} requests per core second, ${use.cpuSeconds.toFixed(2)} s processor time, ${use.rssMebibytes.toFixed(0)} MiB`,
			);
		}
	}

	for (const {name, measured, met} of compareWithTargets(phases)) {
		lines.push(`${met ? 'met' : 'MISSED'}: ${name}: ${measured.toFixed(2)}`);
	}

	return lines.join('\n');
}
