/**
 * The session parameters that the proxy handles itself: those that drivers set and that
 * change nothing on a shared connection, and the proxy's own.
 */
import {Refusal} from '../errors/error-kinds.js';
import type {CallerSession} from './caller-session.js';

/** How one parameter is read and written. Writing undefined resets it to its default. */
type ParameterHandler = {
	/** Name under which a change is reported to the caller. */
	readonly reportedAs?: string;
	read(session: CallerSession): string;
	write(session: CallerSession, value: string | undefined): Refusal | undefined;
};

/** A parameter with a single supported value, which is accepted in several spellings. */
function fixedParameter(value: string, spellings: RegExp, reportedAs?: string): ParameterHandler {
	return {
		...(reportedAs ? {reportedAs} : {}),
		read: () => value,
		write: (_session, wanted) => wanted === undefined || spellings.test(wanted) ? undefined : invalid(`only ${value} is supported`),
	};
}

function invalid(detail: string): Refusal {
	return new Refusal('invalidParameter', detail);
}

const unitsMs: ReadonlyMap<string, number> = new Map([
	['', 1], ['us', 0.001], ['ms', 1], ['s', 1000], ['min', 60_000], ['h', 3_600_000], ['d', 86_400_000],
]);
const durationPattern = /^(\d{1,12})\s*([a-z]*)$/v;

/** Parses a duration in the database's notation into milliseconds; NaN if it is not a duration. */
function readDurationMs(text: string): number {
	const match = durationPattern.exec(text.trim());
	return match ? Number(match[1]) * (unitsMs.get(match[2] ?? '') ?? Number.NaN) : Number.NaN;
}

const booleanSpellings: ReadonlyMap<string, boolean> = new Map([
	['on', true], ['true', true], ['yes', true], ['1', true], ['off', false], ['false', false], ['no', false], ['0', false],
]);

/** A parameter for a duration field of the session; an empty value clears it, and zero does so if `isZeroNone` is set. */
function durationParameter(field: 'deadlineMs' | 'maximumAgeMs', isZeroNone: boolean): ParameterHandler {
	return {
		read: session => session[field] === undefined ? '' : String(session[field]),
		write(session, value) {
			const durationMs = readDurationMs(value ?? '');
			if (value === undefined || value === '' || (isZeroNone && durationMs === 0)) {
				session[field] = undefined;
				return undefined;
			}

			if (Number.isNaN(durationMs)) {
				return invalid('not a duration in milliseconds');
			}

			session[field] = durationMs;
			return undefined;
		},
	};
}

const rules: ReadonlyMap<string, ParameterHandler> = new Map<string, ParameterHandler>([
	['application_name', {
		reportedAs: 'application_name',
		read: session => session.caller.applicationName,
		write(session, value) {
			session.caller = {...session.caller, applicationName: (value ?? '').slice(0, 63)};
			return undefined;
		},
	}],
	// eslint-disable-next-line unicorn/text-encoding-identifier-case -- the database's own spelling
	['client_encoding', fixedParameter('UTF8', /^(?:utf-?8|unicode)$/iv, 'client_encoding')],
	['datestyle', fixedParameter('ISO, MDY', /^iso(?:\s*,\s*mdy)?$/iv, 'DateStyle')],
	['intervalstyle', fixedParameter('postgres', /^postgres$/iv, 'IntervalStyle')],
	['timezone', fixedParameter('UTC', /^(?:etc\/)?(?:utc|gmt|uct|zulu|universal|z|\+?0)$/iv, 'TimeZone')],
	['extra_float_digits', fixedParameter('1', /^[123]$/v)],
	['standard_conforming_strings', fixedParameter('on', /^(?:on|true|yes|1)$/iv, 'standard_conforming_strings')],
	['client_min_messages', fixedParameter('notice', /^(?:debug\d?|log|notice|warning|error)$/iv)],
	['statement_timeout', durationParameter('deadlineMs', true)],
	['quetzalstream.deadline_ms', durationParameter('deadlineMs', true)],
	['quetzalstream.max_age_ms', durationParameter('maximumAgeMs', false)],
	['quetzalstream.idempotent', {
		read: session => session.isIdempotent ? 'on' : 'off',
		write(session, value) {
			const truth = booleanSpellings.get((value ?? 'off').toLowerCase());
			if (truth === undefined) {
				return invalid('not a boolean value');
			}

			session.isIdempotent = truth;
			return undefined;
		},
	}],
	// A changed token is reported at the end of the answer that changed it.
	['quetzalstream.token', {
		read: session => session.marks.token,
		write: (session, value) => value ? session.marks.mergeToken(value).swap().toMaybe().extract() : undefined,
	}],
]);

/** Whether the proxy handles the parameter itself. */
export function isSessionParameter(name: string): boolean {
	return rules.has(name.toLowerCase());
}

/** The value of a parameter that the proxy handles; empty for any other. */
export function readParameter(session: CallerSession, name: string): string {
	return rules.get(name.toLowerCase())?.read(session) ?? '';
}

/** Sets a parameter; returns a refusal for an invalid value or a parameter that would need a dedicated connection. */
export function writeParameter(session: CallerSession, name: string, value: string | undefined): Refusal | undefined {
	const rule = rules.get(name.toLowerCase());
	return rule
		? rule.write(session, value)
		: new Refusal('unsupportedStatement', `parameter ${name} needs a connection of its own; use SET LOCAL in a transaction`);
}

/** Name under which a change of the parameter is reported; undefined when changes are not reported. */
export function reportedName(name: string): string | undefined {
	return rules.get(name.toLowerCase())?.reportedAs;
}

/** Resets every parameter to its default, except the token. */
export function resetParameters(session: CallerSession): void {
	for (const rule of rules.values()) {
		rule.write(session, undefined);
	}
}
