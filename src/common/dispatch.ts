/**
 * Lookup tables of handlers, one for each kind of a union's members.
 */

type WithKind = {readonly kind: string};

/** The members of a union that are of a kind. */
export type OfKind<Union extends WithKind, Kind extends Union['kind']> = Union extends WithKind
	? Kind extends Union['kind'] ? Union : never
	: never;

/** One handler for each kind; `Rest` are further arguments. */
export type HandlersOf<Union extends WithKind, Result, Rest extends readonly unknown[] = never[]> = {
	readonly [Kind in Union['kind']]: (member: OfKind<Union, Kind>, ...rest: Rest) => Result;
};

/** Calls the handler of a member's kind. */
export function dispatch<Union extends WithKind, Result, Rest extends readonly unknown[] = never[]>(
	handlers: HandlersOf<Union, Result, Rest>,
	member: Union,
	...rest: Rest
): Result {
	// The handler under a member's own kind takes that member; the language cannot express that.
	const table = handlers as unknown as Readonly<Record<string, (member: Union, ...rest: Rest) => Result>>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return table[member.kind](member, ...rest);
}
