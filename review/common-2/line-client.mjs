/**
 * A caller's connection to a node, in the platform's line protocol. It sends one request at a time
 * and reports what came back.
 */
import {connect} from 'node:net';

/** A session of one caller. */
export class LineClient {
	_buffered = '';
	_lines = [];
	_isEnded = false;
	_resolvePending = undefined;
	_socket = undefined;

	constructor(host, port) {
		this._socket = connect({host, port, noDelay: true});
		this._socket.on('data', chunk => {
			this._onData(chunk);
		});
		this._socket.on('error', () => {
			// The `close` event follows.
		});
		this._socket.on('close', () => {
			this._isEnded = true;
			this._settle({
				isAnswered: false, code: '', state: '', lines: this._lines,
			});
		});
		this._socket.on('end', () => {
			this._isEnded = true;
			this._settle({
				isAnswered: false, code: '', state: '', lines: this._lines,
			});
		});
	}

	/** Whether the session has ended, from either side. */
	get isEnded() {
		return this._isEnded;
	}

	/** Begins the session. */
	async startUp(database, user) {
		return this._exchange(`STARTUP ${database} ${user}`);
	}

	/** Sends a request; resolves with its answer, which is not complete if the connection ended before. */
	async query(id, text) {
		return this._exchange(`QUERY ${id} ${text}`);
	}

	close() {
		this._socket.destroy();
	}

	async _exchange(line) {
		if (this._isEnded) {
			return {
				isAnswered: false, isUnsent: true, code: '', state: '', lines: [],
			};
		}

		return new Promise(resolve => {
			this._resolvePending = resolve;
			this._socket.write(`${line}\r\n`, 'latin1');
		});
	}

	_onData(chunk) {
		const lines = (this._buffered + chunk.toString('latin1')).split('\r\n');
		this._buffered = lines.pop();
		this._lines.push(...lines);
		const ready = this._lines.at(-1);
		if (ready?.startsWith('READY ')) {
			const answered = this._lines;
			this._lines = [];
			const error = answered.find(text => text.startsWith('ERROR '));
			this._settle({
				isAnswered: true,
				code: error?.split(' ')[1] ?? '',
				text: error ?? '',
				rows: answered.filter(text => text.startsWith('DATAROW ')).map(text => text.slice('DATAROW '.length)),
				state: ready.split(' ')[1],
				lines: answered,
			});
		}
	}

	_settle(result) {
		const resolve = this._resolvePending;
		this._resolvePending = undefined;
		resolve?.(result);
	}
}
