/**
 * Changes as text: read from the log, and named in the audit trail.
 */
import {nameOf} from './model.js';
import {parseJsonWith} from './problems.js';
import {changeSchema, type Change, type Operation} from './schema.js';

/** Operations that the audit trail names. */
const operationsNamed = 3;

/** Names what operations do. */
export function summariseOperations(operations: readonly Operation[]): string {
	const named = operations.slice(0, operationsNamed).map(operation => {
		const name = operation.op === 'put' ? nameOf(operation.value) : operation.name;
		return `${operation.op} ${operation.kind} ${name}`;
	});
	const more = operations.length - named.length;
	return [...named, ...(more > 0 ? [`and ${more} more`] : [])].join(', ');
}

/** Reads a change; undefined when this program cannot. */
export function parseChange(body: string): Change | undefined {
	const parsed = parseJsonWith(changeSchema, body);
	return parsed.isRight() ? parsed.unsafeCoerce() : undefined;
}
