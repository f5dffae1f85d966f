/**
 * Control commands, which control connections send as `SELECT quetzalstream_...(...)`.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {
	A_Const as Constant, FuncCall, Node, SelectStmt,
} from 'libpg-query';
import {formatPosition} from '../../../src/common/positions/log-position.js';
import type {InstanceState, TermClaim} from '../../../src/common/services/services.js';
import type {Instance} from '../instance.js';
import {namesOf} from '../sql/compile-expression.js';
import type {ResultColumn, StatementResult} from '../sql/plan.js';
import type {ParsedStatement} from '../sql/planner.js';
import {SqlError} from '../sql/sql-error.js';
import {sqlTypes} from '../sql/sql-types.js';

/** A control command that can be described and run. */
export type ControlCommand = {
	readonly columns: readonly ResultColumn[];
	run(instance: Instance, controlConnection: unknown): StatementResult;
};

type CommandArgument = string | number | boolean;

type CommandDefinition = {
	readonly columns: readonly string[];
	readonly arguments: ReadonlyArray<'number' | 'string' | 'boolean'>;
	readonly run: (instance: Instance, values: readonly CommandArgument[], controlConnection: unknown) => readonly string[];
};

/** Formats a state as it is reported on control connections. */
export function formatState(state: InstanceState): string {
	const claim = state.claimId === '' ? '-' : state.claimId;
	return `${state.role} ${state.promisedTerm} ${claim} ${formatPosition(state.received)} ${formatPosition(state.applied)} ${state.isStreaming ? 't' : 'f'}`;
}

function formatClaim({isAccepted, state}: TermClaim): string[] {
	return [isAccepted ? 't' : 'f', formatState(state)];
}

const claimColumns = ['accepted', 'state'];
const attachColumns = ['accepted', 'holder'];

const commands: Readonly<Record<string, CommandDefinition>> = {
	quetzalstream_state: {
		columns: ['state'], arguments: [], run: instance => [formatState(instance.state)],
	},
	quetzalstream_raise_term: {
		columns: claimColumns, arguments: ['number', 'string'], run: (instance, [term, claimId]) => formatClaim(instance.raiseTerm(Number(term), String(claimId))),
	},
	quetzalstream_promote: {
		columns: claimColumns, arguments: ['number', 'string'], run: (instance, [term, claimId]) => formatClaim(instance.promote(Number(term), String(claimId))),
	},
	quetzalstream_follow: {
		columns: claimColumns, arguments: ['number', 'string', 'number'], run: (instance, [term, host, port]) => formatClaim(instance.follow(Number(term), {host: String(host), port: Number(port)})),
	},
	quetzalstream_attach: {
		columns: attachColumns,
		arguments: ['string', 'boolean'],
		run(instance, [homeId, isForced], controlConnection) {
			const answer = instance.attachment.attach(String(homeId), Boolean(isForced), controlConnection);
			return [answer.isAccepted ? 't' : 'f', answer.holder];
		},
	},
	quetzalstream_detach: {
		columns: attachColumns,
		arguments: ['string'],
		run(instance, [homeId]) {
			const answer = instance.attachment.detach(String(homeId));
			return [answer.isAccepted ? 't' : 'f', answer.holder];
		},
	},
};

/** Finds the control command in a statement; undefined if it is another statement. */
export function findControlCommand(statement: ParsedStatement): ControlCommand | undefined {
	const call = 'SelectStmt' in statement.node ? singleCall(statement.node.SelectStmt) : undefined;
	const definition = call && commands[namesOf(call.funcname).at(-1) ?? ''] as CommandDefinition | undefined;
	if (!call || !definition) {
		return undefined;
	}

	const values = (call.args ?? []).map(node => constantOf(node));
	if (values.length !== definition.arguments.length || values.some((value, index) => typeof value !== definition.arguments[index])) {
		throw new SqlError('42883', 'the arguments of the control command do not match its signature');
	}

	return {
		columns: definition.columns.map(name => ({name, type: sqlTypes.text})),
		run: (instance, controlConnection) => ({tag: 'SELECT', rows: [definition.run(instance, values, controlConnection)]}),
	};
}

function singleCall(statement: SelectStmt): FuncCall | undefined {
	const [target] = (statement.targetList ?? []) as Array<Node | undefined>;
	const value = target && 'ResTarget' in target ? target.ResTarget.val : undefined;
	return value && 'FuncCall' in value && !statement.fromClause ? value.FuncCall : undefined;
}

function constantOf(node: Node): CommandArgument {
	const constant: Constant = 'A_Const' in node ? node.A_Const : {isnull: true};
	if (constant.isnull) {
		throw new SqlError('42601', 'the arguments of a control command must be constants');
	}

	if (constant.sval) {
		return constant.sval.sval ?? '';
	}

	return constant.boolval ? constant.boolval.boolval ?? false : Number(constant.fval?.fval ?? constant.ival?.ival ?? 0);
}
