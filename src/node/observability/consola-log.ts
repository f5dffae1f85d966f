/**
 * Numbered log events through consola: one line of JSON each, or a readable line for terminals.
 */
import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';
import {logEvents, type LogLevel} from '../../common/observability/log-events.js';
import type {Log, LogEventName} from '../../common/services/services.js';
import {levelRanks} from './constants.js';

/** How log events are written. */
export type ConsolaLogOptions = {
	/** Name of this node, repeated on each line. */
	readonly node: string;
	/** Lowest severity that is written. */
	readonly level?: LogLevel;
	readonly format?: 'json' | 'pretty';
	/** Receives each line, its end included; standard error by default. */
	readonly write?: (line: string) => void;
};

/** What is written of an event. */
type LogRecord = {
	readonly time: string;
	readonly number: number;
	readonly name: string;
	readonly level: LogLevel;
	readonly node: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Consola's own filter lets everything through; events are filtered before they are built. */
const consolaLevel = 5;

const formatters = {
	json: (record: LogRecord) => JSON.stringify(record, replaceUnserializable),
	pretty(record: LogRecord) {
		const fields = Object.entries(record.fields)
			.map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value, replaceUnserializable)}`);
		const time = record.time.slice(11, 23);
		return [time, record.level.padEnd(5), record.node, record.number, record.message, ...fields].join(' ');
	},
} as const;

/** Writes events with consola. */
export class ConsolaLog implements Log {
	private readonly _node: string;
	private readonly _threshold: number;
	private readonly _format: (record: LogRecord) => string;
	private readonly _consola: ConsolaInstance;

	constructor(options: ConsolaLogOptions) {
		this._node = options.node;
		this._threshold = levelRanks[options.level ?? 'info'];
		this._format = formatters[options.format ?? 'json'];
		const write = options.write ?? (line => {
			process.stderr.write(line);
		});
		this._consola = createConsola({
			level: consolaLevel,
			// Consola folds repeated messages by default; every event counts here.
			throttle: 0,
			reporters: [{
				log(entry: LogObject) {
					write(entry.args.join(' ') + '\n');
				},
			}],
		});
	}

	/** Whether an event is severe enough to be written. */
	isWritten(name: LogEventName): boolean {
		return levelRanks[logEvents[name].level] >= this._threshold;
	}

	event(name: LogEventName, fields: Readonly<Record<string, unknown>> = {}): void {
		if (!this.isWritten(name)) {
			return;
		}

		const {number, level, message}: {number: number; level: LogLevel; message: string} = logEvents[name];

		const record: LogRecord = {
			time: new Date().toISOString(), number, name, level, node: this._node, message, fields,
		};
		this._consola[level](this._format(record));
	}
}

/** Errors and big numbers are not JSON of their own. */
function replaceUnserializable(_key: string, value: unknown): unknown {
	if (value instanceof Error) {
		return value.message;
	}

	return typeof value === 'bigint' ? String(value) : value;
}
