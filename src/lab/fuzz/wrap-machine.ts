import type {Machine} from './host.js';

/** Wraps a machine so that each message and effect passes through a function that may drop, change or add some. */
export function wrapMachine<Message, Effect>(
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
