/**
 * Sends large answers to requests for rows in compressed parts.
 *
 * The receiver acknowledges parts, so that few of them are in transit at any time and other answers
 * on the link are sent between two parts.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {rowTransferDefaults} from '../../common/load/constants.js';
import {OutgoingParts} from '../../common/load/outgoing-parts.js';
import {PackedRowsCache} from '../../common/load/packed-rows-cache.js';
import {TransferTurns} from '../../common/load/transfer-turns.js';
import type {Clock, Metrics, StoredRows} from '../../common/services/services.js';
import type {RowsAnswer, RowsPart} from '../peers/generated/quetzalstream/direct.js';
import {packRows, rowsSize, toRowsAnswer} from './conversion.js';
import {encodeAnswer} from './link-messages.js';
import type {AnswerStream} from './types.js';

/** The part of a link's stream that transfers use. */
type PartStream = Pick<AnswerStream, 'writable' | 'writableNeedDrain' | 'write' | 'once'>;

type Transfer = {
	readonly stream: PartStream;
	readonly id: number;
	readonly head: RowsAnswer;
	readonly packed: Uint8Array;
	readonly parts: OutgoingParts;
	lastProgressMs: number;
};

type SenderServices = {
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Transfers of one node to all others. */
export class RowsSender implements Disposable {
	private readonly _services: SenderServices;
	private readonly _cache = new PackedRowsCache(rowTransferDefaults.keptPacked);
	private readonly _turns = new TransferTurns<Transfer>(rowTransferDefaults.concurrentTransfers);
	private readonly _byStream = new WeakMap<PartStream, Map<number, Transfer>>();
	private _timer: Disposable | undefined;

	constructor(services: SenderServices) {
		this._services = services;
	}

	/** Sends rows in parts if they are large enough; returns whether they are, and otherwise sends nothing. */
	send(stream: PartStream, id: number, table: string, rows: StoredRows): boolean {
		if (rowsSize(rows) < rowTransferDefaults.packFromBytes) {
			return false;
		}

		const packed = this._cache.get(table, rows.rows, () => packRows(rows));
		const {clock} = this._services;
		const ofStream = this._byStream.get(stream) ?? new Map<number, Transfer>();
		this._byStream.set(stream, ofStream);
		const same = [...ofStream.values()].find(other => other.packed === packed);
		if (same) {
			// A node renews a proof while its request for changes waits: both are answered by one transfer.
			this._sendNotice({stream, id}, same.id);
			return true;
		}

		const transfer: Transfer = {
			stream, id, packed, head: toRowsAnswer({...rows, rows: []}), parts: new OutgoingParts(packed, rowTransferDefaults), lastProgressMs: clock.nowMs(),
		};
		ofStream.set(id, transfer);
		this._turns.add(transfer);
		if (this._turns.active.includes(transfer)) {
			this._advance(transfer);
		} else {
			this._sendNotice(transfer);
		}

		this._timer ??= this._scheduleCheck();
		return true;
	}

	/** Records that a receiver has a number of parts of a transfer. */
	acknowledge(stream: PartStream, id: number, parts: number): void {
		const transfer = this._byStream.get(stream)?.get(id);
		if (!transfer) {
			return;
		}

		transfer.parts.acknowledge(parts);
		transfer.lastProgressMs = this._services.clock.nowMs();
		if (transfer.parts.isDone) {
			this._end(transfer, 'done');
		} else {
			this._advance(transfer);
		}
	}

	/** Drops the transfers over a stream that has ended. */
	forget(stream: PartStream): void {
		for (const transfer of this._byStream.get(stream)?.values() ?? []) {
			this._end(transfer, 'lost');
		}
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private _advance(transfer: Transfer): void {
		const {stream, id, head, parts} = transfer;
		while (stream.writable && !stream.writableNeedDrain) {
			const part = parts.next();
			if (!part) {
				return;
			}

			this._services.metrics.count('rowTransferBytesTotal', {}, part.data.length);
			writePart(stream, id, {...part, head: part.index === 0 ? head : undefined, sameAs: 0});
		}

		if (stream.writable) {
			stream.once('drain', () => {
				this._advance(transfer);
			});
		}
	}

	/** Tells a requester that its answer has to wait, or is the same as that to another call. */
	private _sendNotice({stream, id}: Pick<Transfer, 'stream' | 'id'>, sameAs = 0): void {
		if (stream.writable) {
			writePart(stream, id, {
				head: undefined, index: 0, count: 0, data: new Uint8Array(), sameAs,
			});
		}
	}

	private _end(transfer: Transfer, outcome: 'done' | 'lost' | 'stalled'): void {
		const before = this._turns.active;
		this._byStream.get(transfer.stream)?.delete(transfer.id);
		this._turns.remove(transfer);
		this._services.metrics.count('rowTransfersTotal', {direction: 'sent', outcome});
		for (const next of this._turns.active) {
			if (!before.includes(next)) {
				next.lastProgressMs = this._services.clock.nowMs();
				this._advance(next);
			}
		}
	}

	/** Schedules a check that drops stalled transfers and notifies the requesters that wait. */
	private _scheduleCheck(): Disposable {
		const {clock} = this._services;
		return clock.setTimer(rowTransferDefaults.waitNoticeMs, () => {
			this._timer = undefined;
			for (const transfer of this._turns.active) {
				if (clock.nowMs() - transfer.lastProgressMs >= rowTransferDefaults.acknowledgementTimeoutMs) {
					this._end(transfer, 'stalled');
				}
			}

			for (const transfer of this._turns.waiting) {
				this._sendNotice(transfer);
			}

			if (this._turns.active.length > 0) {
				this._timer = this._scheduleCheck();
			}
		});
	}
}

/** Writes a part. One that cannot be encoded is left out, so that the transfer ends as stalled. */
function writePart(stream: PartStream, id: number, part: RowsPart): void {
	encodeAnswer({id, answer: {$case: 'rowsPart', value: part}}).ifRight(bytes => {
		stream.write(bytes);
	});
}
