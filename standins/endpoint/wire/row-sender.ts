/**
 * Sends rows of answers and the command's completion, whole or portal by portal.
 */
import type {Row} from '../types.js';
import type {StatementResult} from '../sql/plan.js';
import type {BackendMessageWriter} from './backend-message-writer.js';
import {flushSizeBytes} from './constants.js';
import type {Portal} from './extended-protocol.js';

/** Writes rows; large answers are handed over in parts. */
export class RowSender {
	private readonly _writer: BackendMessageWriter;
	private readonly _flush: () => void;

	constructor(writer: BackendMessageWriter, flush: () => void) {
		this._writer = writer;
		this._flush = flush;
	}

	/** Sends a whole answer. */
	sendResult({tag, rows = []}: StatementResult): void {
		this._sendRows(rows);
		this._complete(tag, rows.length);
	}

	/** Sends as many of a portal's rows as were asked for; zero for all. */
	sendPortalRows(portal: Portal, rowLimit: number): void {
		const {rest} = portal;
		if (!rest) {
			return;
		}

		const end = rowLimit > 0 ? Math.min(rest.rows.length, rest.sentCount + rowLimit) : rest.rows.length;
		const part = end - rest.sentCount === rest.rows.length ? rest.rows : rest.rows.slice(rest.sentCount, end);
		this._sendRows(part);
		rest.sentCount = end;
		if (rowLimit > 0 && part.length === rowLimit) {
			this._writer.portalSuspended();
		} else {
			this._complete(rest.tag, part.length);
		}
	}

	private _sendRows(rows: readonly Row[]): void {
		for (const row of rows) {
			this._writer.dataRow(row);
			if (this._writer.sizeBytes > flushSizeBytes) {
				this._flush();
			}
		}
	}

	private _complete(tag: string, rowCount: number): void {
		this._writer.commandComplete(tag === 'SELECT' ? `SELECT ${rowCount}` : tag);
	}
}
