/**
 * One statement from a caller to a node and back, over the simulated network.
 */
import {serialize} from 'pg-protocol';
import type {Refusal} from '../../src/common/errors/error-kinds.js';
import type {CallerSession} from '../../src/common/sessions/caller-session.js';
import type {RequestCycle, TransactionStep} from '../../src/common/services/services.js';
import {backendTypes} from '../../src/node/endpoints/constants.js';
import {framesIn, readRow} from '../../src/node/endpoints/frames.js';
import type {SimulatedNetwork} from '../world/simulated-network.js';
import type {SimulatedNode} from '../world/simulated-node.js';
import type {SimulatedProcess} from '../world/simulated-process.js';

/** The answer that a caller received for one statement. */
export type CallerAnswer
	= | {readonly kind: 'rows'; readonly rows: ReadonlyArray<readonly string[]>; readonly sqlState: string | undefined; readonly endpoint: string}
		| {readonly kind: 'refused'; readonly refusal: Refusal}
	/** The connection was lost, or the answer timed out. */
		| {readonly kind: 'lost'; readonly detail: string};

/** A statement to be sent. */
export type CallerStatement = {
	readonly sql: string;
	readonly access: 'read' | 'write';
	readonly step: TransactionStep;
	/** Time after which the caller cancels it, in milliseconds; undefined for never. */
	readonly cancelAfterMs?: number;
};

/** Time after which a caller stops waiting, in milliseconds: longer than every deadline, freeze and cut together. */
const answerTimeoutMs = 40_000;

/** Detail of a lost answer for which the caller timed out. */
export const unansweredDetail = 'gave up waiting';

/** Sends a statement on a session that a node holds for the caller, and resolves with the answer or with how it was lost. */
export async function exchange(
	path: {readonly caller: SimulatedProcess; readonly node: SimulatedNode; readonly network: SimulatedNetwork},
	session: CallerSession,
	statement: CallerStatement,
): Promise<CallerAnswer> {
	const {caller, node, network} = path;
	return new Promise(resolve => {
		let isSettled = false;
		const settle = (answer: CallerAnswer) => {
			if (!isSettled) {
				isSettled = true;
				timeout.dispose();
				ended.dispose();
				resolve(answer);
			}
		};

		const timeout = caller.setTimer(answerTimeoutMs, () => {
			settle({kind: 'lost', detail: unansweredDetail});
		});
		const ended = node.process.onEnd(() => {
			network.send(node.host, caller, () => {
				settle({kind: 'lost', detail: 'connection reset'});
			});
		});
		if (!node.process.isAlive) {
			settle({kind: 'lost', detail: 'connection refused'});
			return;
		}

		const abort = new AbortController();
		if (statement.cancelAfterMs !== undefined) {
			caller.setTimer(statement.cancelAfterMs, () => {
				network.send(caller, node.process, () => {
					abort.abort();
				});
			});
		}

		network.send(caller, node.process, () => {
			void serve(node, session, statement, abort.signal).then(answer => {
				network.send(node.process, caller, () => {
					settle(answer);
				});
			});
		});
	});
}

/** Executes one statement on the node, as its caller listener does. */
async function serve(node: SimulatedNode, session: CallerSession, statement: CallerStatement, signal: AbortSignal): Promise<CallerAnswer> {
	const rows: string[][] = [];
	const cycle: RequestCycle = {frames: serialize.query(statement.sql), access: statement.access, step: statement.step};
	node.inProgressCount += 1;
	const result = await node.core.router.execute(session, cycle, {
		push(frames) {
			for (const {type, bodyStart, end} of framesIn(frames)) {
				if (type === backendTypes.dataRow) {
					rows.push(readRow(frames, bodyStart, end));
				}
			}
		},
	}, signal);
	node.inProgressCount -= 1;
	return result
		.map((end): CallerAnswer => ({
			kind: 'rows', rows, sqlState: end.errorSqlState, endpoint: end.endpoint,
		}))
		.mapLeft((refusal): CallerAnswer => ({kind: 'refused', refusal}))
		.extract();
}
