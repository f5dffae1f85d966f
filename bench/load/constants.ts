/**
 * Statements of the load, and limits of the load process.
 */
import type {Work} from './types.js';

/** Rows of the table that the load reads and writes. */
export const rowCount = 1000;

/** Statements that create and fill the table. */
export const tableStatements = [
	'CREATE TABLE IF NOT EXISTS bench_item (id int PRIMARY KEY, name text, price int)',
	'INSERT INTO bench_item (id, name, price) VALUES ($1, $2, $3) ON CONFLICT (id) DO NOTHING',
] as const;

/** Names and texts of the statements that every connection prepares. */
export const preparedTexts = {
	read: 'SELECT id, name, price FROM bench_item WHERE id = $1',
	write: 'UPDATE bench_item SET price = $2 WHERE id = $1',
} as const;

/** Text of the simple query for a row. */
export function simpleReadText(id: number): string {
	return `SELECT id, name, price FROM bench_item WHERE id = ${id}`;
}

/** Number of connections that are opened at the same time. */
export const openConcurrency = 50;

/** Maximum time for a connection to close before its socket is destroyed. */
export const answerTimeoutMs = 20_000;

/** Range and precision of the latency histograms, in microseconds. */
export const histogramOptions = {
	lowestDiscernibleValue: 1,
	highestTrackableValue: 60_000_000,
	numberOfSignificantValueDigits: 3,
} as const;

/** All kinds of work. */
export const works: readonly Work[] = ['preparedRead', 'simpleRead', 'preparedWrite'];
