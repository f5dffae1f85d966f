/**
 * Messages and exit codes for refusals of the operators API.
 */
import type {Change} from '../../common/configuration/schema.js';
import type {ClientRefusal} from '../operators/operator-client.js';
import {exitCodes, type ExitCode} from './constants.js';

const exitCodeByKind: Readonly<Record<ClientRefusal['kind'], ExitCode>> = {
	invalid: exitCodes.usage,
	unauthorized: exitCodes.refused,
	crossSite: exitCodes.refused,
	notFound: exitCodes.refused,
	conflict: exitCodes.refused,
	tooLarge: exitCodes.refused,
	unsupportedType: exitCodes.refused,
	unacknowledged: exitCodes.refused,
	tooManyFailures: exitCodes.refused,
	failed: exitCodes.failed,
	unavailable: exitCodes.failed,
	unknown: exitCodes.failed,
	noAnswer: exitCodes.unreachable,
};

/** Messages of the kinds for which the detail alone is not enough. */
const describers = new Map<string, (refusal: ClientRefusal) => string | undefined>([
	['unauthorized', () => 'user or password is wrong'],
	['invalid', refusal => refusal.kind === 'invalid'
		? refusal.problems.map(({path, expected}) => `${path}: ${expected}`).join('\n')
		: undefined],
	['conflict', refusal => refusal.kind === 'conflict'
		? `other changes came first; nothing was changed\n${refusal.changes.map(change => describeChange(change)).join('\n')}`
		: undefined],
	['unacknowledged', refusal => refusal.kind === 'unacknowledged'
		? `nothing was changed; to proceed, acknowledge these warnings with --acknowledge:\n${refusal.preview.warnings.map(({id, message}) => `  ${id}  ${message}`).join('\n')}`
		: undefined],
	['unknown', refusal => refusal.kind === 'unknown'
		? `${refusal.detail}; whether the change took effect shows in \`config log\``
		: undefined],
	['noAnswer', refusal => refusal.kind === 'noAnswer' ? `no answer: ${refusal.detail}` : undefined],
]);

/** Returns the exit code for a refusal. */
export function exitCodeOf(refusal: ClientRefusal): ExitCode {
	return exitCodeByKind[refusal.kind];
}

/** Formats a refusal as a message for operators. */
export function describeRefusal(refusal: ClientRefusal): string {
	const text = describers.get(refusal.kind)?.(refusal) ?? ('detail' in refusal ? refusal.detail : refusal.kind);
	return 'retryAfterMs' in refusal ? `${text}; try again in ${Math.ceil(refusal.retryAfterMs / 1000)} s` : text;
}

/** Formats a change as one line. */
export function describeChange({number, at, author, operations, undoOf, note}: Change): string {
	const operationTexts = operations.map(operation => `${operation.op} ${operation.kind} ${operation.op === 'put' ? nameOf(operation.value) : operation.name}`);
	const what = undoOf === undefined ? operationTexts.join(', ') : `undo of ${undoOf}`;
	return `${number}  ${at}  ${author}  ${shorten(what)}${note === undefined ? '' : `  (${note})`}`;
}

/** Maximum length of the list of operations in one line. */
const maximumChars = 100;

function shorten(text: string): string {
	return text.length > maximumChars ? `${text.slice(0, maximumChars)}…` : text;
}

function nameOf(value: {readonly name: string} | {readonly user: string}): string {
	return 'name' in value ? value.name : value.user;
}
