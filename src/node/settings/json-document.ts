/**
 * JSON with comments that keeps the position of each value in the text, for error messages.
 */
import {
	findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import {formatPath, lineAndColumnOf} from './text-positions.js';
import type {PathStep, SettingsProblem} from './types.js';

/** A parsed document with its problems. */
export class JsonDocument {
	/** The parsed value; undefined when the text has none. */
	readonly value: unknown;
	/** Syntax errors and duplicate properties. */
	readonly problems: readonly SettingsProblem[];
	private readonly _text: string;
	private readonly _root: Node | undefined;

	constructor(text: string) {
		const errors: ParseError[] = [];
		this._text = text;
		this._root = parseTree(text, errors, {allowTrailingComma: true});
		this.value = this._root ? getNodeValue(this._root) as unknown : undefined;
		this.problems = [
			...errors.map(error => this._syntaxProblem(error)),
			...this._duplicates(this._root, []),
		];
	}

	/** A problem at a path; its position is that of the value, or of the closest enclosing value that exists. */
	problemAt(path: readonly PathStep[], found: string, expected: string): SettingsProblem {
		return {
			...lineAndColumnOf(this._text, this._offsetOf(path)), path: formatPath(path), found, expected,
		};
	}

	/** The value at a path; undefined when it is absent. */
	valueAt(path: readonly PathStep[]): unknown {
		const node = this._nodeAt(path);
		return node ? getNodeValue(node) as unknown : undefined;
	}

	private _offsetOf(path: readonly PathStep[]): number {
		for (let {length} = path; length > 0; length--) {
			const node = this._nodeAt(path.slice(0, length));
			if (node) {
				return this._startOf(node);
			}
		}

		return this._root?.offset ?? 0;
	}

	/** Offset of a value, or of the name if it belongs to a property, so that messages point to the name. */
	private _startOf(node: Node): number {
		return node.parent?.type === 'property' ? node.parent.offset : node.offset;
	}

	private _nodeAt(path: readonly PathStep[]): Node | undefined {
		return this._root && findNodeAtLocation(this._root, [...path]);
	}

	private _syntaxProblem({error, offset, length}: ParseError): SettingsProblem {
		const found = this._text.slice(offset, offset + length);
		return {
			...lineAndColumnOf(this._text, offset),
			path: '',
			found: found === '' ? 'the end of the file' : JSON.stringify(found),
			expected: `JSON with comments (${printParseErrorCode(error)})`,
		};
	}

	private _duplicates(node: Node | undefined, path: readonly PathStep[]): SettingsProblem[] {
		const children = node?.children ?? [];
		if (node?.type === 'array') {
			return children.flatMap((child, index) => this._duplicates(child, [...path, index]));
		}

		const seen = new Set<string>();
		return children.flatMap(property => {
			const name = String(property.children?.[0].value);
			const inner = [...path, name];
			const own = seen.has(name)
				? [{
					...lineAndColumnOf(this._text, property.offset), path: formatPath(inner), found: 'the property a second time', expected: 'it once',
				}]
				: [];
			seen.add(name);
			return [...own, ...this._duplicates(property.children?.[1], inner)];
		});
	}
}
