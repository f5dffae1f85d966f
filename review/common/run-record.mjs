/**
 * The record of a run: what requesters sent and were answered, and what instances ran.
 */
import {writeFileSync} from 'node:fs';
import {LineInstanceSession} from '../../out/standins/line/line-instance-session.js';

/** Collects the lines of a record; every statement that an instance runs is added by itself. */
export class RunRecord {
	constructor() {
		this.lines = [];
		/** Statements of requesters that instances ran, in order. */
		this.runs = [];
		this._connections = new Map();
		this._watchInstances();
	}

	/** Adds a line with the time since the start of this process. */
	add(text) {
		this.lines.push(`${performance.now().toFixed(1).padStart(9)} ${text}`);
	}

	write(file) {
		writeFileSync(file, `${this.lines.join('\n')}\n`);
	}

	/** Sends a statement for a requester and records it with its answer. */
	async query(client, requester, id, text) {
		this.add(`${requester} sends ${id} ${text}`);
		try {
			const answer = await client.query(id, text);
			this.add(`${requester} is answered ${id} ${answer.code === '' ? `COMPLETE ${answer.digest}` : answer.text} ${answer.rows.join(',')}`);
			return answer;
		} catch (error) {
			this.add(`${requester} has no answer ${id} ${error.message}`);
			return {
				rows: [], code: 'LOST', digest: '', text: error.message,
			};
		}
	}

	_watchInstances() {
		const {query} = LineInstanceSession.prototype;
		const noteRun = this._noteRun.bind(this);
		LineInstanceSession.prototype.query = function (id, text) {
			const answer = query.call(this, id, text);
			if (!/^(?:STATUS|SET|DISCARD|PREPARE)/v.test(text)) {
				noteRun(this, id, text, answer);
			}

			return answer;
		};
	}

	_noteRun(session, id, text, answer) {
		if (!this._connections.has(session)) {
			this._connections.set(session, `c${this._connections.size + 1}`);
		}

		const connection = this._connections.get(session);
		const {instance: {id: instance}, user} = session;
		const isSuccess = answer?.includes('COMPLETE') === true;
		this.runs.push({
			instance, connection, user, id, text, isSuccess,
		});
		const outcome = answer === undefined ? 'no answer' : answer.trim().replaceAll('\r\n', ' / ');
		this.add(`${instance} runs on ${connection} of ${user}: ${id} ${text} -> ${outcome}`);
	}
}
