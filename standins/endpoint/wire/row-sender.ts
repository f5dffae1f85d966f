/**
 * Sends the rows of results and CommandComplete: all rows at once, or up to the row limit of an Execute.
 */
import type {Row} from '../types.js';
import type {StatementResult} from '../sql/plan.js';
import type {BackendMessageWriter} from './backend-message-writer.js';
import {flushSizeBytes} from './constants.js';
import type {Portal} from './extended-protocol.js';

/** Encodes rows; large results are flushed in parts. */
export class RowSender {
	private readonly _writer: BackendMessageWriter;
	private readonly _flush: () => void;

	constructor(writer: BackendMessageWriter, flush: () => void) {
		this._writer = writer;
		this._flush = flush;
	}

	/** Sends a whole result. */
	sendResult({tag, rows = []}: StatementResult): void {
		this._sendRows(rows);
		this._complete(tag, rows.length);
	}

	/** Sends the next rows of a portal, at most `rowLimit`; zero for all. */
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
