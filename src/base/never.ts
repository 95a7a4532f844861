/** Makes a switch over a discriminated union exhaustive at compile time. */
export function assertNever(value: never): never {
	throw new TypeError(`unhandled variant: ${JSON.stringify(value)}`);
}
