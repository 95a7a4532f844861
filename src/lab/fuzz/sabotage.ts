import type {Machine} from './host.js';

/** Wraps a machine so that every message and effect passes through a rewriting function, which may drop, change or add some. */
export function rewrite<Message, Effect>(
	machine: Machine<Message, Effect>,
	rules: {
		readonly messages?: (message: Message, now: number) => Message[];
		readonly effects?: (effect: Effect, now: number) => Effect[];
		readonly nextWake?: () => number | undefined;
	},
): Machine<Message, Effect> {
	return {
		handle: (message, now) =>
			(rules.messages?.(message, now) ?? [message])
				.flatMap((item) => machine.handle(item, now))
				.flatMap((effect) => rules.effects?.(effect, now) ?? [effect]),
		nextWake: rules.nextWake ?? (() => machine.nextWake()),
		dump: () => machine.dump(),
	};
}
