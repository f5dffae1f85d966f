/** Typed access to the parser's syntax tree. */

/** A node of the parser's tree. */
export type Tree = Readonly<Record<string, unknown>>;

/** Whether a value of the tree is a node or a list. */
export function isTree(value: unknown): value is Tree {
	return typeof value === 'object' && value !== null;
}

/** The value at a path of keys; undefined when there is none. */
function valueAt(node: unknown, path: readonly string[]): unknown {
	let value = node;
	for (const key of path) {
		value = isTree(value) ? value[key] : undefined;
	}

	return value;
}

/** The text at a path of keys; empty when there is none. */
export function textAt(node: unknown, ...path: readonly string[]): string {
	const value = valueAt(node, path);
	return typeof value === 'string' ? value : '';
}

/** The number at a path of keys; zero when there is none, since the parser omits zeros. */
export function numberAt(node: unknown, ...path: readonly string[]): number {
	const value = valueAt(node, path);
	return typeof value === 'number' ? value : 0;
}

/** Whether the value at a path of keys is truthy. */
export function isSetAt(node: unknown, ...path: readonly string[]): boolean {
	return Boolean(valueAt(node, path));
}

/** The list at a path of keys; empty when there is none. */
export function listAt(node: unknown, ...path: readonly string[]): readonly unknown[] {
	const value = valueAt(node, path);
	return Array.isArray(value) ? value : [];
}

/** The arguments of SET as one text, in the form that SHOW returns. */
export function readArguments(node: unknown): string {
	return listAt(node, 'args').map(value => readConstant(value)).join(', ');
}

function readConstant(value: unknown): string {
	if (isSetAt(value, 'A_Const', 'ival')) {
		return String(numberAt(value, 'A_Const', 'ival', 'ival'));
	}

	if (isSetAt(value, 'A_Const', 'boolval')) {
		return isSetAt(value, 'A_Const', 'boolval', 'boolval') ? 'on' : 'off';
	}

	return textAt(value, 'A_Const', 'sval', 'sval') || textAt(value, 'A_Const', 'fval', 'fval');
}
