/**
 * Shows progress on standard output: as one line that is overwritten on a terminal, and as
 * separate lines otherwise.
 */
import process from 'node:process';
import type {Reporter} from './types.js';

/** Control sequence that erases the current line of a terminal. */
const eraseLine = '\r\u001B[K';

/** Writes to standard output. */
export class ProgressReporter implements Reporter {
	private readonly _isTerminal = process.stdout.isTTY;
	private readonly _startedAtMs = Date.now();
	private _lastProgressMs = 0;

	line(text: string): void {
		const seconds = ((Date.now() - this._startedAtMs) / 1000).toFixed(1).padStart(5);
		process.stdout.write(`${this._isTerminal ? eraseLine : ''}${seconds} s  ${text}\n`);
	}

	/** Shows progress; at most one line per second if standard output is not a terminal. */
	progress(text: string): void {
		if (this._isTerminal) {
			process.stdout.write(`${eraseLine}         ${text}`);
			return;
		}

		if (Date.now() - this._lastProgressMs >= 1000) {
			this._lastProgressMs = Date.now();
			this.line(text);
		}
	}
}
