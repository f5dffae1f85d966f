/**
 * The schema of a node's settings. The types are inferred from it; the defaults are in constants.ts.
 */
import {z} from 'zod';
import {groupDefaults} from '../groups/constants.js';
import {defaultHomeOptions} from '../homes/constants.js';
import {membershipDefaults} from '../membership/constants.js';
import {routingDefaults} from '../routing/constants.js';
import {settingsBounds, settingsDefaults} from './constants.js';
import {
	countField, credentialsFields, durationMsField, ipField, labelsField, nameField, portField, sizeBytesField,
	tlsField, tuningField,
} from './fields.js';

const nodeSchema = z.strictObject({
	/** Unique among all nodes; also identifies the node in logs, metrics and the audit trail. */
	name: nameField,
	availabilityZone: nameField,
	region: nameField.default(settingsDefaults.node.region),
});

const callerUserSchema = z.strictObject({
	...credentialsFields,
	password: z.string().default(''),
	/** Labels by which the rules of the configuration select callers. */
	labels: labelsField,
});

const authenticationSchema = z.strictObject({
	method: z.enum(['none', 'cleartext', 'md5']),
	users: z.array(callerUserSchema).default([]),
}).superRefine(({method, users}, context) => {
	if (method !== 'none' && users.length === 0) {
		context.addIssue({
			code: 'custom', path: ['users'], message: `at least one user for the method ${method}`, input: users,
		});
	}

	for (const [index, {user, password}] of users.entries()) {
		if (method !== 'none' && password === '') {
			context.addIssue({
				code: 'custom', path: ['users', index, 'password'], message: `a password for the method ${method}`, input: password,
			});
		}

		if (users.findIndex(other => other.user === user) < index) {
			context.addIssue({
				code: 'custom', path: ['users', index, 'user'], message: 'a user that is not listed before', input: user,
			});
		}
	}
});

const {callers: callerDefaults} = settingsDefaults;

const tokenKeyField = z.string().min(settingsBounds.tokenKeyLength);

const callersSchema = z.strictObject({
	/** Address that callers connect to. */
	host: ipField,
	port: portField.default(callerDefaults.port),
	authentication: authenticationSchema,
	tls: tlsField.optional(),
	/** Whether callers that do not request TLS are refused. */
	isTlsRequired: z.boolean().default(callerDefaults.isTlsRequired),
	maximumConnections: countField.default(callerDefaults.maximumConnections),
	maximumMessageBytes: sizeBytesField.default(callerDefaults.maximumMessageBytes),
	maximumBufferedBytes: sizeBytesField.default(callerDefaults.maximumBufferedBytes),
	/** Key with which session tokens are signed; must be the same on all nodes. */
	tokenKey: tokenKeyField,
	/** Keys whose tokens are still accepted while the key is being replaced. */
	previousTokenKeys: z.array(tokenKeyField).max(settingsBounds.previousTokenKeys).default([]),
	/** Routing of reads of callers that sent no session token (docs/SESSIONS.md). */
	tokenlessReads: z.enum(['primary', 'sessionOnly']).default(callerDefaults.tokenlessReads),
	startUpTimeoutMs: durationMsField.default(callerDefaults.startUpTimeoutMs),
	answerStallMs: durationMsField.default(callerDefaults.answerStallMs),
}).superRefine(({tls, isTlsRequired}, context) => {
	if (isTlsRequired && tls === undefined) {
		context.addIssue({
			code: 'custom', path: ['tls'], message: 'a certificate and key, as isTlsRequired is set', input: undefined,
		});
	}
});

const peersSchema = z.strictObject({
	host: ipField,
	port: portField.default(settingsDefaults.peers.port),
	/** Address at which other nodes reach this one, if it differs from `host`. */
	advertisedHost: ipField.optional(),
	tls: tlsField.optional(),
});

const operatorsSchema = z.strictObject({
	host: ipField,
	port: portField.default(settingsDefaults.operators.port),
	tls: tlsField.optional(),
	credentials: z.array(z.strictObject(credentialsFields)).min(1),
});

const {platform: platformDefaults} = settingsDefaults;

const platformSchema = z.strictObject({
	/** URL of the table service; that of the region if absent. */
	tableEndpointUrl: z.url().optional(),
	/** URL of the object store; that of the region if absent. */
	objectEndpointUrl: z.url().optional(),
	region: z.string().min(1).default(platformDefaults.region),
	/** Absent, like `secretAccessKey`, if the platform provides the process with credentials. */
	accessKeyId: z.string().min(1).optional(),
	secretAccessKey: z.string().min(1).optional(),
	tableName: z.string().min(1).default(platformDefaults.tableName),
	bucket: z.string().min(1).default(platformDefaults.bucket),
	connectTimeoutMs: durationMsField.default(platformDefaults.connectTimeoutMs),
	requestTimeoutMs: durationMsField.default(platformDefaults.requestTimeoutMs),
}).superRefine(({accessKeyId, secretAccessKey}, context) => {
	if ((accessKeyId === undefined) !== (secretAccessKey === undefined)) {
		const missing = accessKeyId === undefined ? 'accessKeyId' : 'secretAccessKey';
		context.addIssue({
			code: 'custom', path: [missing], message: 'both accessKeyId and secretAccessKey, or neither', input: undefined,
		});
	}
});

const endpointsSchema = z.strictObject({
	...credentialsFields,
	/** Timeout for connecting, start-up and authentication together. */
	connectTimeoutMs: durationMsField.default(settingsDefaults.endpoints.connectTimeoutMs),
	/** Timeout for one control command. */
	controlTimeoutMs: durationMsField.default(settingsDefaults.endpoints.controlTimeoutMs),
});

/** With `commit` a failover loses acknowledged writes; the value exists only to measure what waiting for the confirmation costs. */
const homesSchema = z.strictObject({
	acknowledgement: z.enum(['confirmed', 'commit']).default(settingsDefaults.homes.acknowledgement),
}).prefault({});

const logsSchema = z.strictObject({
	level: z.enum(['debug', 'info', 'warn', 'error']).default(settingsDefaults.logs.level),
	format: z.enum(['json', 'pretty']).default(settingsDefaults.logs.format),
}).prefault({});

const invariantsSchema = z.strictObject({
	/** Whether a violated invariant throws where it is checked; for tests and soak runs. */
	isFatal: z.boolean().default(settingsDefaults.invariants.isFatal),
}).prefault({});

const limitsSchema = z.strictObject({
	maximumBackendMessageBytes: sizeBytesField.default(settingsDefaults.limits.maximumBackendMessageBytes),
}).prefault({});

const timingsSchema = z.strictObject({
	drainMs: durationMsField.default(settingsDefaults.timings.drainMs),
	drainNoticeMs: durationMsField.default(settingsDefaults.timings.drainNoticeMs),
}).prefault({});

/** Options of the modules; the constants.ts of each module describes them. */
const tuningSchema = z.strictObject({
	homes: tuningField(defaultHomeOptions),
	groups: tuningField(groupDefaults),
	routing: tuningField(routingDefaults),
	membership: tuningField(membershipDefaults),
}).prefault({});

/** Schema of the settings of one node. */
export const settingsSchema = z.strictObject({
	node: nodeSchema,
	callers: callersSchema,
	peers: peersSchema,
	operators: operatorsSchema,
	platform: platformSchema,
	endpoints: endpointsSchema,
	homes: homesSchema,
	logs: logsSchema,
	invariants: invariantsSchema,
	limits: limitsSchema,
	timings: timingsSchema,
	tuning: tuningSchema,
});

/** Settings of one node, defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;

/** Settings of one node as they are written, optional ones absent. */
export type SettingsInput = z.input<typeof settingsSchema>;
