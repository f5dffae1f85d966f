/** Answers the statements that the proxy handles itself, without an endpoint. */
import {Left, Right, type Either} from 'purify-ts';
import type {Refusal} from '../errors/error-kinds.js';
import type {CallerSession} from '../sessions/caller-session.js';
import {
	readParameter, reportedName, resetParameters, writeParameter,
} from '../sessions/session-parameters.js';
import {backendCodes, frontendCodes} from './constants.js';
import type {LocalMessage} from './cycle-draft.js';
import {
	commandComplete, makeFrame, parameterStatus, textRow, textRowDescription,
} from './frames.js';
import type {PreparedStatements} from './prepared-statements.js';
import type {LocalCommand, Statement} from './types.js';

/** State of the session that local statements read and change. */
export type LocalContext = {
	readonly session: CallerSession;
	readonly prepared: PreparedStatements;
};

/** Result of a local statement. */
type LocalResult = {
	/** Column and value of its only row. */
	readonly row?: {readonly column: string; readonly value: string};
	/** Command tag; undefined for an empty query. */
	readonly tag: string | undefined;
	/** Parameter whose new value is reported to the caller. */
	readonly changed?: string;
};

type CommandHandler = (act: LocalCommand, context: LocalContext) => Either<Refusal, LocalResult>;

const commandHandlers: Readonly<Record<LocalCommand['name'], CommandHandler>> = {
	set({subject = '', value}, {session}) {
		const refusal = writeParameter(session, subject, value);
		return refusal ? Left(refusal) : Right({tag: 'SET', changed: subject});
	},
	show({subject = ''}, {session}) {
		return Right({tag: 'SHOW', row: {column: subject, value: readParameter(session, subject)}});
	},
	resetAll(_act, {session}) {
		resetParameters(session);
		return Right({tag: 'RESET'});
	},
	discardAll(_act, {session, prepared}) {
		resetParameters(session);
		prepared.clear();
		return Right({tag: 'DISCARD ALL'});
	},
	deallocate({subject}, {prepared}) {
		if (subject === undefined) {
			prepared.clear();
			return Right({tag: 'DEALLOCATE ALL'});
		}

		prepared.delete(subject);
		return Right({tag: 'DEALLOCATE'});
	},
	unlockAll: () => Right({tag: 'SELECT 1', row: {column: 'pg_advisory_unlock_all', value: ''}}),
	nothing: ({subject}) => Right({tag: subject}),
	empty: () => Right({tag: undefined}),
};

const emptyQuery = makeFrame(backendCodes.emptyQueryResponse);

/** Column of the row that a command returns; undefined if it returns none. */
function columnOf(act: LocalCommand): string | undefined {
	if (act.name === 'show') {
		return act.subject;
	}

	return act.name === 'unlockAll' ? 'pg_advisory_unlock_all' : undefined;
}

function perform(act: LocalCommand, context: LocalContext, isDescribed: boolean): Either<Refusal, readonly Uint8Array[]> {
	return commandHandlers[act.name](act, context).map(result => {
		const reported = result.changed && reportedName(result.changed);
		return [
			...(result.row && isDescribed ? [textRowDescription(result.row.column)] : []),
			...(result.row ? [textRow(result.row.value)] : []),
			result.tag === undefined ? emptyQuery : commandComplete(result.tag),
			...(reported ? [parameterStatus(reported, readParameter(context.session, reported))] : []),
		];
	});
}

/** Frames of an answer, and the refusal that ended it early; undefined if there was none. */
export type LocalAnswer = {
	readonly frames: readonly Uint8Array[];
	readonly refusal: Refusal | undefined;
};

/** Answers a simple query whose statements are all local. */
export function answerStatements(statements: readonly Statement[], context: LocalContext): LocalAnswer {
	const frames: Uint8Array[] = [];
	for (const statement of statements) {
		const answer = statement.kind === 'local' ? perform(statement.act, context, true) : Right([]);
		if (answer.isLeft()) {
			return {frames, refusal: answer.extract()};
		}

		frames.push(...answer.orDefault([]));
	}

	return {frames, refusal: undefined};
}

type AnswerMessage = (message: LocalMessage, context: LocalContext) => Either<Refusal, readonly Uint8Array[]>;

const noParameters = makeFrame(backendCodes.parameterDescription, new Uint8Array(2));
const noData = makeFrame(backendCodes.noData);

const messageAnswers: ReadonlyMap<number, AnswerMessage> = new Map<number, AnswerMessage>([
	[frontendCodes.parse, ({name, statement}, {prepared}) => {
		if (name !== undefined && statement) {
			prepared.set(name, statement);
		}

		return Right([makeFrame(backendCodes.parseComplete)]);
	}],
	[frontendCodes.bind, () => Right([makeFrame(backendCodes.bindComplete)])],
	[frontendCodes.describe, ({statement, name}) => {
		const act = commandOf(statement?.statements[0]);
		const column = act && columnOf(act);
		return Right([
			...(name === undefined ? [] : [noParameters]),
			column === undefined ? noData : textRowDescription(column),
		]);
	}],
	[frontendCodes.execute, ({statement}, context) => {
		const act = commandOf(statement?.statements[0]);
		return act ? perform(act, context, false) : Right([commandComplete('ROLLBACK')]);
	}],
	[frontendCodes.close, ({name}, {prepared}) => {
		if (name !== undefined) {
			prepared.delete(name);
		}

		return Right([makeFrame(backendCodes.closeComplete)]);
	}],
]);

function commandOf(statement: Statement | undefined): LocalCommand | undefined {
	return statement?.kind === 'local' ? statement.act : undefined;
}

/**
 * Answers messages of the extended protocol that need no endpoint: those of local statements,
 * and those of a statement that ends a transaction which has been rolled back already.
 */
export function answerMessages(messages: readonly LocalMessage[], context: LocalContext): LocalAnswer {
	const frames: Uint8Array[] = [];
	for (const message of messages) {
		const answer = messageAnswers.get(message.code)?.(message, context) ?? Right([]);
		if (answer.isLeft()) {
			return {frames, refusal: answer.extract()};
		}

		frames.push(...answer.orDefault([]));
	}

	return {frames, refusal: undefined};
}
