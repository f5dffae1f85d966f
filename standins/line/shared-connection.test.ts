/**
 * Property tests of the way from a caller's line to an endpoint's line, over arbitrary texts. What the
 * endpoint runs is read by a reader of its own, which follows the protocol's page: a line ends at CR LF,
 * a field at a blank, and the last field at the end of its line.
 */
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, asyncProperty, constantFrom, nat, oneof, option, property, record, tuple, uint8Array,
} from 'fast-check';
import type {Arbitrary} from 'fast-check';
import {Right} from 'purify-ts';
import {lineWire} from '../../platform/line-wire.js';
import {Emitter} from '../../src/common/lifecycle/emitter.js';
import {PooledConnection} from '../../src/common/pools/pooled-connection.js';
import {emptySessionState} from '../../src/common/pools/session-state.js';
import type {SessionState} from '../../src/common/pools/session-state.js';
import type {EndpointStatement} from '../../src/common/pools/types.js';
import type {
	CallerMessage, EndpointAnswer, LineConnection,
} from '../../src/common/services/services.js';
import {RecordingLog} from '../../src/common/testing/observers.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {LineSplitter} from '../../src/node/line/line-splitter.js';

const settings = {seed: 58, numRuns: 300};

/** Any bytes without a line end. */
const anyText = uint8Array({minLength: 1, maxLength: 12}).map(bytes => Buffer.from(bytes).toString('latin1').replaceAll(/\r+\n/gv, '\n'));

/** Texts that some hop could read as something else. */
const oddTexts = [
	' ', '  ', ' x', 'x ', 'a  b', 'READ q', 'q READ ni', 'AFTERLSN 9.9 READ x', 'p1', 'p1 x', '\r', 'x\r', '\n', '\nQUERY 1 WRITE x 1', 'a\tb', '\0', '-', '__proto__', 'é',
] as const;

/** A last field. */
const anyLast = oneof(anyText, constantFrom(...oddTexts));

/** A field that another one follows. */
const anyWord = oneof(anyText.map(text => text.replaceAll(' ', '_')), constantFrom('__proto__', 'constructor', 'toString', '-', 'p1', 'READ', '\t', '\r', '\n', '\0', 'é', 's1'));

/** A name; few of them, so that sessions use the same. */
const anyName = oneof(constantFrom('s1', 's2', '__proto__', 'p1', 'READ'), anyWord);

const anyId = anyWord.filter(id => id !== '-');

const anyPosition = record({term: nat(), offset: nat()});

/** Text as it arrives after it was written with one byte for each character. */
function overWire(text: string): string {
	return Buffer.from(text, 'latin1').toString('latin1');
}

/** Fields of a line as the page defines them: the last of `count` fields extends to the end of the line. */
function fieldsOf(line: string, count: number): string[] {
	const fields: string[] = [];
	let from = 0;
	while (fields.length < count - 1) {
		const end = line.indexOf(' ', from);
		expect(end >= from).toEqual(true);
		fields.push(line.slice(from, end));
		from = end + 1;
	}

	return [...fields, line.slice(from)];
}

/** Lines of a stream as the page defines them; each ends in CR LF. */
function linesOf(stream: string): string[] {
	const lines: string[] = [];
	let from = 0;
	while (from < stream.length) {
		const end = stream.indexOf('\r\n', from);
		expect(end >= from).toEqual(true);
		lines.push(stream.slice(from, end));
		from = end + 2;
	}

	return lines;
}

/** What an endpoint ran for an id. */
type Run = {
	readonly id: string;
	readonly floor: string | undefined;
	/** The text, in which the name of a prepared statement is replaced by what it stands for. */
	readonly text: string;
	readonly values: ReadonlyMap<string, string>;
};

/** A connection to an endpoint that follows the page. */
class PageEndpoint implements LineConnection {
	readonly onClose = new Emitter<void>().event;
	readonly runs: Run[] = [];
	private readonly _values = new Map<string, string>();
	private readonly _prepared = new Map<string, string>();

	/** Handlers of the statements that a node sends on its own behalf. */
	private readonly _changes: Readonly<Record<string, (text: string) => void>> = {
		DISCARD: text => {
			expect(text).toEqual('DISCARD');
			this._values.clear();
			this._prepared.clear();
		},
		SET: text => {
			const [, name, value] = fieldsOf(text, 3);
			this._values.set(name, value);
		},
		PREPARE: text => {
			const [, name, access, shape] = fieldsOf(text, 4);
			this._prepared.set(name, `${access} ${shape}`);
		},
	};

	async exchange(requests: readonly string[]) {
		const lines = linesOf(overWire(requests.join('')));
		expect(lines.length).toEqual(requests.length);
		for (const line of lines) {
			const [word, id, text] = fieldsOf(line, 3);
			expect(word).toEqual('QUERY');
			const [statement] = fieldsOf(`${text} `, 2);
			if (id === '-') {
				this._changes[statement](text);
			} else {
				this._run(id, statement, text);
			}
		}

		const answer: EndpointAnswer = {
			text: '', rows: [], status: 'idle', position: undefined,
		};
		return Right(requests.map(() => answer));
	}

	dispose(): void {
		throw new Error('the connection must stay open');
	}

	private _run(id: string, statement: string, text: string): void {
		const [, floor, rest] = statement === 'AFTERLSN' ? fieldsOf(text, 3) : ['', undefined, text];
		const [, name, parameters] = rest.startsWith('EXECUTE ') ? fieldsOf(rest, 3) : [];
		this.runs.push({
			id, floor, text: name === undefined ? rest : `EXECUTE <${this._prepared.get(name)}> ${parameters}`, values: new Map(this._values),
		});
	}
}

/** Sends bytes to a node in two chunks; returns the only message that it reads. */
function receive(line: string, splitAt: number): CallerMessage {
	const bytes = Buffer.from(`${line}\r\n`, 'latin1');
	const splitter = new LineSplitter(lineWire.maximumLineBytes);
	const lines = [...splitter.push(bytes.subarray(0, splitAt)), ...splitter.push(bytes.subarray(splitAt))];
	expect(lines.length).toEqual(1);
	return lineWire.decodeCaller(lines[0]);
}

/** A caller's session as the caller means it, and as the node knows it. */
type Caller = {
	readonly values: Map<string, string>;
	readonly prepared: Map<string, string>;
	readonly state: SessionState;
};

/** What a caller means by the statements that change its session. */
const meanings: Readonly<Partial<Record<string, (caller: Caller, name: string, rest: string) => void>>> = {
	SET({values}, name, value) {
		values.set(name, value);
	},
	PREPARE({prepared}, name, described) {
		prepared.set(name, described);
	},
	DEALLOC({prepared}, name) {
		prepared.delete(name);
	},
};

/** What a caller sends, as the page defines its fields. */
type Sent = {
	readonly caller: number;
	readonly fields: readonly string[];
	readonly id: string;
	readonly floor: {readonly term: number; readonly offset: number} | undefined;
	readonly splitAt: number;
};

const anyFields: Arbitrary<readonly string[]> = oneof(
	tuple(constantFrom('SET'), anyName, anyLast),
	tuple(constantFrom('PREPARE'), anyName, constantFrom('READ', 'WRITE'), anyLast),
	tuple(constantFrom('EXECUTE'), anyName, anyLast),
	tuple(constantFrom('DEALLOC'), anyName),
	tuple(constantFrom('READ'), anyLast),
	tuple(constantFrom('WRITE'), anyWord, anyLast),
);
const anySent: Arbitrary<Sent> = record({
	caller: nat(2), fields: anyFields, id: anyId, floor: option(anyPosition, {nil: undefined}), splitAt: nat(30),
});

/** Runs what callers send one after the other on one connection, and compares what the endpoint runs with what they mean. */
class SharedConnection {
	private readonly _callers = [0, 1, 2].map((): Caller => ({values: new Map(), prepared: new Map(), state: emptySessionState()}));
	private readonly _endpoint = new PageEndpoint();
	private readonly _connection = new PooledConnection(this._endpoint, undefined, {
		wire: lineWire, clock: new VirtualClock(), log: new RecordingLog(), endpoint: 'i-1', preparedLimits: {names: 3, shapeCharacters: 30},
	});

	async send({caller: index, fields, id, floor, splitAt}: Sent): Promise<void> {
		const caller = this._callers[index];
		const text = fields.join(' ');
		const message = receive(`QUERY ${id} ${text}`, splitAt);
		expect(message.kind === 'statement' && [message.id, message.text]).toEqual([id, text]);
		const [word, name, ...rest] = fields;
		meanings[word]?.(caller, name, rest.join(' '));
		const meant = word === 'EXECUTE' ? `EXECUTE <${caller.prepared.get(name)}> ${rest[0]}` : text;
		const isRun = word === 'READ' || word === 'WRITE' || (word === 'EXECUTE' && caller.prepared.has(name));
		expect(await this._handle(message, caller.state, floor)).toEqual(isRun);
		if (isRun) {
			expect(this._endpoint.runs.pop()).toEqual({
				id, floor: floor && `${floor.term}.${floor.offset}`, text: meant, values: caller.values,
			});
		}

		expect(this._endpoint.runs).toEqual([]);
	}

	/** Does with a message what a session does; resolves to whether the endpoint ran it. */
	private async _handle(message: CallerMessage, state: SessionState, floor: Sent['floor']): Promise<boolean> {
		if (message.kind !== 'statement') {
			return false;
		}

		const {id, text, statement} = message;
		switch (statement.kind) {
			case 'set': {
				state.values.set(statement.name, statement.value);
				return false;
			}

			case 'prepare': {
				state.prepared.set(statement.name, {access: statement.access, shape: statement.shape});
				return false;
			}

			case 'deallocate': {
				state.prepared.delete(statement.name);
				return false;
			}

			case 'read':
			case 'write': {
				return this._run({id, text}, state, floor);
			}

			case 'execute': {
				const prepared = state.prepared.get(statement.name);
				return prepared !== undefined && this._run({id, text, call: {prepared, parameters: statement.parameters}}, state, floor);
			}

			case 'begin':
			case 'commit':
			case 'rollback':
			case 'unknown': {
				return false;
			}
		}
	}

	private async _run(statement: Pick<EndpointStatement, 'id' | 'text' | 'call'>, session: SessionState, floor: Sent['floor']): Promise<boolean> {
		const result = await this._connection.run({
			...statement, session, floor, caller: 'c', organisation: undefined, priority: 1, access: 'read', deadlineMs: 10_000,
		}, 1000);
		expect(result.isRight()).toEqual(true);
		return true;
	}
}

describe('the way from a caller\'s line to an endpoint\'s line', () => {
	it('keeps each statement, its shape, its parameters and the values of its session, whatever their texts', async () => {
		await assert(asyncProperty(array(anySent, {maxLength: 40}), async all => {
			const connection = new SharedConnection();
			for (const sent of all) {
				await connection.send(sent);
			}
		}), settings);
	});

	it('reads the fields of a start-up as the page defines them, whatever their texts', () => {
		assert(property(anyWord, anyLast, (database, user) => {
			expect(receive(`STARTUP ${database} ${user}`, 5)).toEqual({kind: 'startUp', database, user});
		}), settings);
	});

	it('reads any line as some message, and forwards only what the page lets a caller send', () => {
		assert(property(anyText, oneof(anyLast, constantFrom('READ x', 'COMMIT', 'COMMIT ', 'DISCARD', 'AFTERLSN 1.1 COMMIT')), (beginning, end) => {
			for (const line of [beginning, `${beginning} ${end}`, `QUERY ${beginning} ${end}`]) {
				const message = receive(line, 1);
				const kind = message.kind === 'statement' ? message.statement.kind : 'unknown';
				if (message.kind === 'statement' && (kind === 'read' || kind === 'write' || kind === 'commit')) {
					expect(/^(?:READ .|WRITE .|COMMIT ?$)/sv.test(message.text)).toEqual(true);
					expect(linesOf(overWire(lineWire.encodeStatement(message.id, message.text)))).toEqual([line]);
				}
			}
		}), settings);
	});

	it('passes rows and errors of endpoints on as they are', () => {
		assert(property(anyLast, text => {
			expect(lineWire.decodeAnswer(`DATAROW ${text}`)).toEqual({kind: 'row', text});
			expect(lineWire.decodeAnswer(`ERROR FAILED ${text}`)).toEqual({kind: 'error', error: 'failed', text: `FAILED ${text}`});
		}), settings);
	});
});
