/** Reads what a caller asks for in its start-up message. */
import {readUint32} from '../../common/statements/frames.js';

const bodyOffset = 8;

/** Whether the body is pairs of name and value that end with an empty name, so that parsing it terminates. */
export function isWellFormedStartUp(message: Uint8Array): boolean {
	let offset = bodyOffset;
	let isName = true;
	while (offset < message.length) {
		const zero = message.indexOf(0, offset);
		if (zero === -1) {
			return false;
		}

		if (isName && zero === offset) {
			return zero === message.length - 1;
		}

		isName = !isName;
		offset = zero + 1;
	}

	return false;
}

/** Request code of a start-up message, or its protocol version. */
export function readRequestCode(message: Uint8Array): number {
	return readUint32(message, 4);
}

const option = /(?:^|\s)(?:-c\s*|--)([\w.\-]+)=((?:\\.|[^\s\\])*)/gv;

/** Settings in the `options` parameter: `-c name=value` and `--name=value`. */
export function readOptions(text: string): ReadonlyArray<readonly [name: string, value: string]> {
	return [...text.matchAll(option)].map(match => [
		(match[1] ?? '').replaceAll('-', '_'),
		(match[2] ?? '').replaceAll(/\\(.)/gv, '$1'),
	]);
}

/** Parameters of the start-up message that are not session settings. */
const reservedNames: ReadonlySet<string> = new Set(['user', 'database', 'options', 'replication']);

/** The settings that a start-up message asks for, in order. */
export function readSettings(parameters: Readonly<Record<string, string>>): ReadonlyArray<readonly [name: string, value: string]> {
	const named = Object.entries(parameters).filter(([name]) => !reservedNames.has(name) && !name.startsWith('_pq_.'));
	return [...readOptions(parameters.options ?? ''), ...named];
}
