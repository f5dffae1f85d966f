/**
 * Schemas of single fields that settings and deployments share.
 */
import {z} from 'zod';
import {settingsBounds} from './constants.js';

/** Name of a node, a zone, a group or an endpoint. */
export const nameField = z.string()
	.max(settingsBounds.nameLength)
	.regex(/^[A-Za-z0-9][\w.\-]*$/v, 'letters, digits, dots, hyphens and underscores, beginning with a letter or digit');

/** Address of a host; names are not looked up. */
export const ipField = z.union([z.ipv4(), z.ipv6()], 'an IP address');

/** TCP port; zero listens on a free one. */
export const portField = z.int().min(0).max(settingsBounds.maximumPort);

export const durationMsField = z.int().min(1).max(settingsBounds.maximumDurationMs);

export const countField = z.int().min(1).max(settingsBounds.maximumCount);

export const sizeBytesField = z.int().min(1).max(settingsBounds.maximumSizeBytes);

export const labelsField = z.record(z.string().min(1), z.string()).default({});

/** User and password of a caller, an operator or this program itself. */
export const credentialsFields = {
	user: z.string().min(1).max(settingsBounds.nameLength),
	password: z.string(),
};

/** Text of certificates and keys in PEM; hosts have no disk to read them from. */
export const tlsField = z.strictObject({
	certificate: z.string().startsWith('-----BEGIN'),
	key: z.string().startsWith('-----BEGIN'),
	/** Authority that the other side's certificate must come from. */
	authority: z.string().startsWith('-----BEGIN').optional(),
});

/** One schema for all: making some hundred of them took 10 ms of processor time at each start. */
const tuningNumber = z.number().min(0).optional();

/** Options of a part that may be set one by one; their defaults are that part's own. */
export function tuningField<T extends Readonly<Record<string, unknown>>>(defaults: T) {
	const names = Object.keys(defaults).filter(name => typeof defaults[name] === 'number');
	const shape = Object.fromEntries(names.map(name => [name, tuningNumber]));
	return z.strictObject(shape).transform(values => values as TuningOf<T>).prefault({});
}

/** The numbers of a table of defaults, each optional. */
export type TuningOf<T> = {readonly [Name in keyof T as T[Name] extends number ? Name : never]?: number};
