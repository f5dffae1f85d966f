/**
 * Numbered log events through consola: one line of JSON each, or a readable line for terminals.
 */
import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';
import {logEvents, type LogLevel} from '../../common/observability/log-events.js';
import {escapeControls, quoteUnlessWord} from '../../common/observability/readable-text.js';
import type {Log, LogEventName} from '../../common/services/services.js';
import {levelRanks, maximumTextCharacters} from './constants.js';

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

/** An event as it is written. */
type LogRecord = {
	readonly time: string;
	readonly number: number;
	readonly name: string;
	readonly level: LogLevel;
	readonly node: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Level at which consola lets everything through; `event()` filters events before it builds their records. */
const consolaLevel = 5;

const formatters = {
	json: (record: LogRecord) => JSON.stringify(record, replaceUnserializable),
	pretty(record: LogRecord) {
		const fields = Object.entries(record.fields)
			.map(([key, value]) => `${key}=${typeof value === 'string' ? quoteUnlessWord(shorten(value)) : escapeControls(String(JSON.stringify(value, replaceUnserializable)))}`);
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
			// By default, consola merges repeated messages; here every event is written.
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

/** Replaces errors by their messages and bigints by texts, as JSON has no form for them, and shortens long texts. */
function replaceUnserializable(_key: string, value: unknown): unknown {
	if (typeof value === 'string') {
		return shorten(value);
	}

	if (value instanceof Error) {
		return shorten(value.message);
	}

	return typeof value === 'bigint' ? String(value) : value;
}

/** Shortens a text of a log line; callers choose some of them, up to the longest line of their protocol. */
function shorten(text: string): string {
	return text.length > maximumTextCharacters ? `${text.slice(0, maximumTextCharacters)}… (${text.length} characters)` : text;
}
