/**
 * Tables of handlers by kind of envelope body.
 */
import type {Body, BodyKind, BodyOf} from './types.js';

/** Handlers by kind of body; a kind without a handler is not expected. */
export type BodyHandlers = {
	readonly [K in BodyKind]?: (value: BodyOf<K>['value'], requestId: number) => void;
};

/** Calls the handler for the body's kind; returns false if there is none. */
export function handleBody(handlers: BodyHandlers, body: Body, requestId: number): boolean {
	// The table pairs each kind with the type of its value; the compiler can't follow that through an index.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const handler = handlers[body.$case] as ((value: Body['value'], requestId: number) => void) | undefined;
	handler?.(body.value, requestId);
	return handler !== undefined;
}
