/**
 * Parses changes from the text of the log, and summarises their operations for the audit trail.
 */
import {nameOf} from './model.js';
import {parseJsonWith} from './problems.js';
import {changeSchema, type Change, type Operation} from './schema.js';

/** Number of operations that a summary names; the rest is only counted. */
const operationsNamed = 3;

/** Summarises operations in one line for the audit trail. */
export function summariseOperations(operations: readonly Operation[]): string {
	const named = operations.slice(0, operationsNamed).map(operation => {
		const name = operation.op === 'put' ? nameOf(operation.value) : operation.name;
		return `${operation.op} ${operation.kind} ${name}`;
	});
	const more = operations.length - named.length;
	return [...named, ...(more > 0 ? [`and ${more} more`] : [])].join(', ');
}

/** Parses a change; undefined when it is not valid for this release. */
export function parseChange(body: string): Change | undefined {
	const parsed = parseJsonWith(changeSchema, body);
	return parsed.isRight() ? parsed.unsafeCoerce() : undefined;
}
