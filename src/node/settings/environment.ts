/**
 * Replaces `{"fromEnvironment": "NAME"}` by the value of an environment variable, so that secrets
 * need not be written to files.
 */
import type {Environment, PathStep} from './types.js';

/** A variable that is referenced but not set. */
export type MissingVariable = {
	readonly path: readonly PathStep[];
	readonly name: string;
};

const referenceKey = 'fromEnvironment';

/** Replaces references by the values of the variables; returns the new value and the variables that are not set. */
export function substituteVariables(value: unknown, environment: Environment): {value: unknown; missing: MissingVariable[]} {
	const missing: MissingVariable[] = [];
	const visit = (part: unknown, path: readonly PathStep[]): unknown => {
		if (Array.isArray(part)) {
			return part.map((item, index) => visit(item, [...path, index]));
		}

		if (typeof part !== 'object' || part === null) {
			return part;
		}

		const entries = Object.entries(part);
		const name = referencedVariable(entries);
		if (name === undefined) {
			return Object.fromEntries(entries.map(([key, inner]) => [key, visit(inner, [...path, key])]));
		}

		if (environment[name] === undefined) {
			missing.push({path, name});
		}

		return environment[name];
	};

	return {value: visit(value, []), missing};
}

function referencedVariable(entries: ReadonlyArray<[string, unknown]>): string | undefined {
	const [key, name] = entries[0] ?? [];
	return entries.length === 1 && key === referenceKey && typeof name === 'string' ? name : undefined;
}
