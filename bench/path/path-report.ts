/**
 * Tables and bounded figures of the path benchmark.
 */
import type {SeriesReport} from '../load/types.js';
import type {ProcessAccount} from '../process-account.js';
import type {BoundedFigure, Cell, Table} from '../types.js';
import {pathBounds} from './constants.js';
import type {MemoryFigures, PathFigures} from './types.js';

/** Table of the figures of one sequential client on each path. */
export function latencyTable(figures: readonly PathFigures[]): Table {
	return {
		title: 'One sequential client',
		columns: [
			'work',
			'way',
			'p50 ms',
			'p99 ms',
			'added p50 ms',
			'frames/answer',
			'pieces/answer',
			'home writes/stmt',
			'entry writes/stmt',
			'home CPU µs/stmt',
			'entry CPU µs/stmt',
			'errors',
		],
		rows: figures.map(figure => latencyRow(figure, findFigure(figures, figure.work, 'direct'))),
	};
}

function latencyRow({work, way, report, accounts}: PathFigures, direct: PathFigures | undefined): Cell[] {
	const {home, entry} = accounts;
	return [
		work,
		way,
		report.p50Ms,
		report.p99Ms,
		report.p50Ms - (direct?.report.p50Ms ?? Number.NaN),
		report.frames / report.statements,
		report.pieces / report.statements,
		writesPerStatement(home, report),
		writesPerStatement(entry, report),
		microsPerStatement(home, report),
		microsPerStatement(entry, report),
		describeErrors(report),
	];
}

/** Table of the figures of many clients on one path. */
export function loadTable(figures: readonly PathFigures[]): Table {
	return {
		title: 'Many clients',
		columns: [
			'work',
			'way',
			'connections',
			'statements/s',
			'p50 ms',
			'p99 ms',
			'home CPU µs/stmt',
			'entry CPU µs/stmt',
			'statements/s per core',
			'endpoints CPU µs/stmt',
			'node MB',
			'errors',
		],
		rows: figures.map(figure => loadRow(figure)),
	};
}

function loadRow({work, way, connections, report, accounts}: PathFigures): Cell[] {
	const {home, entry, endpoints} = accounts;
	const node = entry ?? home;
	return [
		work,
		way,
		connections,
		report.statements / report.durationMs * 1000,
		report.p50Ms,
		report.p99Ms,
		microsPerStatement(home, report),
		microsPerStatement(entry, report),
		statementsPerCore(report, [home, entry]),
		microsPerStatement(endpoints, report),
		(node?.residentBytes ?? 0) / 1e6,
		describeErrors(report),
	];
}

/** Table of the memory and processor time that idle connections take. */
export function memoryTable({connections, before, after}: MemoryFigures): Table {
	return {
		title: 'A node that holds idle connections',
		columns: ['connections', 'MB before', 'MB after', 'KB per connection', 'CPU ms per connection'],
		rows: [[
			connections,
			before.residentBytes / 1e6,
			after.residentBytes / 1e6,
			bytesPerConnection(before, after, connections) / 1000,
			(after.cpuMs - before.cpuMs) / connections,
		]],
	};
}

/** Bounded figures in which a regression of a single statement's path shows. */
export function latencyBounds(figures: readonly PathFigures[]): BoundedFigure[] {
	const direct = findFigure(figures, 'read', 'direct');
	const oneHop = findFigure(figures, 'read', 'one hop');
	const twoHops = findFigure(figures, 'read', 'two hops');
	if (!direct || !oneHop || !twoHops) {
		throw new Error('expected the read latency on all three paths, found fewer');
	}

	return [
		{name: 'read p50: one hop ÷ direct', value: oneHop.report.p50Ms / direct.report.p50Ms, maximum: pathBounds.oneHopRead},
		{name: 'read p50: two hops ÷ direct', value: twoHops.report.p50Ms / direct.report.p50Ms, maximum: pathBounds.twoHopRead},
		{name: 'read: pieces per answer, one hop', value: piecesPerAnswer(oneHop), maximum: pathBounds.piecesPerAnswer},
		{name: 'read: pieces per answer, two hops', value: piecesPerAnswer(twoHops), maximum: pathBounds.piecesPerAnswer},
		{name: 'read: frames per answer beyond direct', value: framesPerAnswer(oneHop) - framesPerAnswer(direct), maximum: pathBounds.extraFramesPerAnswer},
		{name: 'read: write calls of the home, one hop', value: writesPerStatement(oneHop.accounts.home, oneHop.report), maximum: pathBounds.writeCallsPerStatement},
		{name: 'read: write calls of the home, two hops', value: writesPerStatement(twoHops.accounts.home, twoHops.report), maximum: pathBounds.writeCallsPerStatement},
		{name: 'read: write calls of the entry, two hops', value: writesPerStatement(twoHops.accounts.entry, twoHops.report), maximum: pathBounds.writeCallsPerStatement},
		{name: 'errors', value: errorCount(figures), maximum: 0},
	];
}

/** Bounded figures in which a regression under load shows. */
export function loadBounds(figures: readonly PathFigures[]): BoundedFigure[] {
	const direct = figures.find(({way}) => way === 'direct');
	const oneHop = figures.find(({way, connections}) => way === 'one hop' && connections === pathBounds.cpuConnections);
	if (!direct || !oneHop) {
		throw new Error('expected load figures of the direct path and of one hop, found fewer');
	}

	const ratio = microsPerStatement(oneHop.accounts.home, oneHop.report) / microsPerStatement(direct.accounts.endpoints, direct.report);
	return [
		{name: 'read CPU per statement: home ÷ endpoint stand-ins', value: ratio, maximum: pathBounds.cpuAgainstEndpoint},
		{name: 'share of refused statements under load', value: errorCount(figures) / sumOf(figures.map(({report}) => report.statements)), maximum: pathBounds.refusedShare},
	];
}

/** Bounded figures in which a regression of memory use shows. */
export function memoryBounds({connections, before, after}: MemoryFigures): BoundedFigure[] {
	return [{
		name: 'resident bytes per idle connection',
		value: Math.round(bytesPerConnection(before, after, connections)),
		maximum: pathBounds.bytesPerConnection,
	}];
}

function findFigure(figures: readonly PathFigures[], work: string, way: string): PathFigures | undefined {
	return figures.find(figure => figure.work === work && figure.way === way);
}

function framesPerAnswer({report}: PathFigures): number {
	return report.frames / report.statements;
}

function piecesPerAnswer({report}: PathFigures): number {
	return report.pieces / report.statements;
}

function writesPerStatement(account: ProcessAccount | undefined, {statements}: SeriesReport): number {
	return account ? account.writeCalls / statements : 0;
}

function microsPerStatement(account: ProcessAccount | undefined, {statements}: SeriesReport): number {
	return account ? account.cpuMs * 1000 / statements : 0;
}

/** Statements per second of processor time, summed over all nodes on the path. */
function statementsPerCore({statements}: SeriesReport, accounts: ReadonlyArray<ProcessAccount | undefined>): number {
	const cpuMs = sumOf(accounts.map(account => account?.cpuMs ?? 0));
	return cpuMs === 0 ? 0 : statements / cpuMs * 1000;
}

function bytesPerConnection(before: ProcessAccount, after: ProcessAccount, connections: number): number {
	return (after.residentBytes - before.residentBytes) / connections;
}

/** Lists the number of errors by SQLSTATE. */
function describeErrors({errors}: SeriesReport): string {
	return Object.entries(errors).map(([sqlState, count]) => `${sqlState}: ${count}`).join(', ') || '-';
}

function errorCount(figures: readonly PathFigures[]): number {
	return sumOf(figures.flatMap(({report}) => Object.values(report.errors)));
}

function sumOf(numbers: readonly number[]): number {
	let sum = 0;
	for (const number of numbers) {
		sum += number;
	}

	return sum;
}
