/**
 * Log positions of a database group, ordered by term and then offset.
 *
 * The order is meaningful across terms because a promotion carries every acknowledged
 * write of older terms into the new one (docs/DESIGN.md, "Writes and promotion").
 */

/** A position in the log of a database group. */
export type LogPosition = {
	/** Term of the primary that wrote the entry at this position. */
	readonly term: number;
	/** Number of entries up to and including this position. */
	readonly offset: number;
};

/** The position before the first entry. */
export const zeroPosition: LogPosition = {term: 0, offset: 0};

/** Compares positions by term, then by offset; negative if `a` is earlier, zero if they are equal, positive if `a` is later. */
export function comparePositions(a: LogPosition, b: LogPosition): number {
	return a.term - b.term || a.offset - b.offset;
}

/** Whether a log that ends at `reached` contains every entry up to `wanted`. */
export function hasReached(reached: LogPosition, wanted: LogPosition): boolean {
	return comparePositions(reached, wanted) >= 0;
}

/** The later of two positions. */
export function laterPosition(a: LogPosition, b: LogPosition): LogPosition {
	return comparePositions(a, b) >= 0 ? a : b;
}

/** Formats a position as `term/offset`. */
export function formatPosition(position: LogPosition): string {
	return `${position.term}/${position.offset}`;
}

const positionPattern = /^(\d{1,15})\/(\d{1,15})$/v;

/** Parses `term/offset`; returns undefined if the text is not a position. */
export function parsePosition(text: string): LogPosition | undefined {
	const match = positionPattern.exec(text);
	return match ? {term: Number(match[1]), offset: Number(match[2])} : undefined;
}
