/**
 * Schemas of the fields that settings and deployments have in common.
 */
import {z} from 'zod';
import {settingsBounds} from './constants.js';

/** Name of a node, a zone, a group or an endpoint. */
export const nameField = z.string()
	.max(settingsBounds.nameLength)
	.regex(/^[A-Za-z0-9][\w.\-]*$/v, 'letters, digits, dots, hyphens and underscores, beginning with a letter or digit');

/** IP address of a host; host names are not accepted, since they are not resolved. */
export const ipField = z.union([z.ipv4(), z.ipv6()], 'an IP address');

/** TCP port; zero lets the system choose a free one to listen on. */
export const portField = z.int().min(0).max(settingsBounds.maximumPort);

export const durationMsField = z.int().min(1).max(settingsBounds.maximumDurationMs);

export const countField = z.int().min(1).max(settingsBounds.maximumCount);

export const sizeBytesField = z.int().min(1).max(settingsBounds.maximumSizeBytes);

export const labelsField = z.record(z.string().min(1), z.string()).default({});

/** User and password of a caller, an operator or the node itself. */
export const credentialsFields = {
	user: z.string().min(1).max(settingsBounds.nameLength),
	password: z.string(),
};

/** Certificates and key as PEM text; they are part of the settings because hosts have no disk to read files from. */
export const tlsField = z.strictObject({
	certificate: z.string().startsWith('-----BEGIN'),
	key: z.string().startsWith('-----BEGIN'),
	/** Certificate of the authority that must have issued the certificate of the other side. */
	authority: z.string().startsWith('-----BEGIN').optional(),
});

/** Shared by all options: creating about a hundred schemas costs 10 ms of processor time at each start. */
const tuningNumber = z.number().min(0).optional();

/** Schema of a module's options, each of which may be set on its own; absent ones take the defaults of the module. */
export function tuningField<T extends Readonly<Record<string, unknown>>>(defaults: T) {
	const names = Object.keys(defaults).filter(name => typeof defaults[name] === 'number');
	const shape = Object.fromEntries(names.map(name => [name, tuningNumber]));
	return z.strictObject(shape).transform(values => values as TuningOf<T>).prefault({});
}

/** The numeric options of a table of defaults, each optional. */
export type TuningOf<T> = {readonly [Name in keyof T as T[Name] extends number ? Name : never]?: number};
