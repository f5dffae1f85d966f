/**
 * Dispatch of a union's members to handlers by their `kind`.
 */

type WithKind = {readonly kind: string};

/** The members of a union with the given kind. */
export type OfKind<Union extends WithKind, Kind extends Union['kind']> = Union extends WithKind
	? Kind extends Union['kind'] ? Union : never
	: never;

/** Table with one handler for each kind; `Rest` are the types of further arguments. */
export type HandlersOf<Union extends WithKind, Result, Rest extends readonly unknown[] = never[]> = {
	readonly [Kind in Union['kind']]: (member: OfKind<Union, Kind>, ...rest: Rest) => Result;
};

/** Calls the handler for a member's kind and returns its result. */
export function dispatch<Union extends WithKind, Result, Rest extends readonly unknown[] = never[]>(
	handlers: HandlersOf<Union, Result, Rest>,
	member: Union,
	...rest: Rest
): Result {
	// The handler for a member's kind accepts that member, but the type system cannot express this.
	const table = handlers as unknown as Readonly<Record<string, (member: Union, ...rest: Rest) => Result>>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return table[member.kind](member, ...rest);
}
