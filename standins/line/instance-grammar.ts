/**
 * Reads the lines that an instance of the stand-in receives, by the published grammar alone. It shares
 * no code with the product: a mistake in the product's codec must not be repeated here.
 *
 * CR LF ends a line; a CR or an LF alone belongs to its field. One blank separates two fields; each
 * field but the last is a word, and the last one extends to the end of the line.
 */

/** Maximum length of a line without its end, in bytes. */
export const maximumMessageBytes = 1_048_576;

/** A message to an instance. */
export type InstanceMessage
	= | {readonly kind: 'startUp'; readonly service: string; readonly user: string; readonly id: string}
		| {readonly kind: 'query'; readonly id: string; readonly text: string}
		| {readonly kind: 'terminate'}
		| {readonly kind: 'malformed'};

/** A statement of a query text. */
export type InstanceStatement
	= | {readonly kind: 'begin'; readonly isReadOnly: boolean}
		| {readonly kind: 'commit' | 'rollback' | 'discard' | 'status' | 'resume' | 'malformed'}
		| {readonly kind: 'read'; readonly item: string}
		| {readonly kind: 'write'; readonly item: string; readonly data: string}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly isWrite: boolean; readonly shape: string}
		| {readonly kind: 'execute'; readonly name: string; readonly parameters: string}
		| {readonly kind: 'deallocate'; readonly name: string}
		| {readonly kind: 'pause' | 'stepDown'; readonly term: number};

/** A query text, taken apart. */
export type InstanceQuery = {
	/** The text without the prefix of a minimum position. */
	readonly text: string;
	/** Minimum position of the prefix. */
	readonly position: string | undefined;
	readonly statement: InstanceStatement;
};

const lineEnd = '\r\n';
const malformed = {kind: 'malformed'} as const;
const positionPattern = /^\d+\.\d+$/v;
const termPattern = /^\d+$/v;

/** Statements that the prefix of a minimum position may precede. Whether an EXECUTE reads, only the connection knows. */
const positionedStatements: ReadonlySet<InstanceStatement['kind']> = new Set(['begin', 'read', 'execute']);

/** For each word, the number of fields after it, and what they mean. */
const statements: Readonly<Record<string, {readonly fields: number; readonly read: (...fields: string[]) => InstanceStatement}>> = {
	COMMIT: {fields: 0, read: () => ({kind: 'commit'})},
	ROLLBACK: {fields: 0, read: () => ({kind: 'rollback'})},
	DISCARD: {fields: 0, read: () => ({kind: 'discard'})},
	STATUS: {fields: 0, read: () => ({kind: 'status'})},
	RESUME: {fields: 0, read: () => ({kind: 'resume'})},
	READ: {fields: 1, read: item => ({kind: 'read', item})},
	WRITE: {fields: 2, read: (item, data) => ({kind: 'write', item, data})},
	SET: {fields: 2, read: (name, value) => ({kind: 'set', name, value})},
	EXECUTE: {fields: 2, read: (name, parameters) => ({kind: 'execute', name, parameters})},
	DEALLOC: {fields: 1, read: name => ({kind: 'deallocate', name})},
	PAUSE: {fields: 1, read: term => termPattern.test(term) ? {kind: 'pause', term: Number(term)} : malformed},
	STEPDOWN: {fields: 1, read: term => termPattern.test(term) ? {kind: 'stepDown', term: Number(term)} : malformed},
	PREPARE: {
		fields: 3,
		read: (name, access, shape) => access === 'READ' || access === 'WRITE'
			? {
				kind: 'prepare', name, shape, isWrite: access === 'WRITE',
			}
			: malformed,
	},
};

/** Splits what arrives on a connection, one character for each byte, into lines. */
export class LineReader {
	private _incomplete = '';

	/** Returns the lines that are complete now, without their ends; undefined if one is too long. */
	push(received: string): string[] | undefined {
		this._incomplete += received;
		const lines: string[] = [];
		let start = 0;
		for (let end = this._incomplete.indexOf(lineEnd); end !== -1; end = this._incomplete.indexOf(lineEnd, start)) {
			lines.push(this._incomplete.slice(start, end));
			start = end + lineEnd.length;
		}

		this._incomplete = this._incomplete.slice(start);
		// A CR at the end may begin the end of the line.
		const unended = this._incomplete.endsWith('\r') ? this._incomplete.slice(0, -1) : this._incomplete;
		return [unended, ...lines].some(line => line.length > maximumMessageBytes) ? undefined : lines;
	}
}

/** Reads one line without its end. */
export function readMessage(line: string): InstanceMessage {
	if (line === 'TERMINATE') {
		return {kind: 'terminate'};
	}

	const [word, ...fields] = takeFields(line, 3) ?? [];
	if (word === 'QUERY') {
		const [id, text] = fields;
		return {kind: 'query', id, text};
	}

	if (word !== 'STARTUP') {
		return malformed;
	}

	// The id is the only optional field that follows a word.
	const [service, rest] = fields;
	const [user, id] = takeFields(rest, 2) ?? [rest, ''];
	return {
		kind: 'startUp', service, user, id,
	};
}

/** Reads the text of a query. */
export function readQuery(text: string): InstanceQuery {
	if (!text.startsWith('AFTERLSN ')) {
		return {text, position: undefined, statement: readStatement(text)};
	}

	const [, position, positioned] = takeFields(text, 3) ?? [text, '', text];
	const statement = readStatement(positioned);
	const isAllowed = positionPattern.test(position) && positionedStatements.has(statement.kind);
	return {text: positioned, position, statement: isAllowed ? statement : malformed};
}

/** Reads what a prepared write gets as its parameters: the item, and data that may be missing. */
export function readWriteParameters(parameters: string): {readonly item: string; readonly data: string} {
	const [item, data] = takeFields(parameters, 2) ?? [parameters, ''];
	return {item, data};
}

function readStatement(text: string): InstanceStatement {
	if (text === 'BEGIN' || text === 'BEGIN READ') {
		return {kind: 'begin', isReadOnly: text !== 'BEGIN'};
	}

	const blank = text.indexOf(' ');
	const word = blank === -1 ? text : text.slice(0, blank);
	if (!Object.hasOwn(statements, word)) {
		return malformed;
	}

	const {fields, read} = statements[word];
	const taken = takeFields(text, fields + 1);
	return taken ? read(...taken.slice(1)) : malformed;
}

/** Takes a text apart into a number of fields; undefined if one of them is missing or empty. */
function takeFields(text: string, count: number): string[] | undefined {
	const fields: string[] = [];
	let start = 0;
	while (fields.length < count - 1) {
		const end = text.indexOf(' ', start);
		if (end <= start) {
			return undefined;
		}

		fields.push(text.slice(start, end));
		start = end + 1;
	}

	// A word without fields must be the whole text.
	const last = text.slice(start);
	return last === '' || (count === 1 && last.includes(' ')) ? undefined : [...fields, last];
}
