import {describe, it} from 'node:test';
import {expect} from 'earl';
import {settingsSchema} from '../../common/settings/settings-schema.js';
import {loadSettings, parseSettings} from './settings-file.js';

const complete = {
	node: {name: 'n1', availabilityZone: 'a'},
	callers: {host: '127.0.0.1', authentication: {method: 'none'}, tokenKey: '0123456789abcdef'},
	peers: {host: '127.0.0.1'},
	operators: {host: '::1', credentials: [{user: 'ops', password: 'x'}]},
	platform: {},
	endpoints: {user: 'app', password: {fromEnvironment: 'ENDPOINT_PASSWORD'}},
};
const environment = {ENDPOINT_PASSWORD: 'from outside'}; // eslint-disable-line @typescript-eslint/naming-convention

function messageOf(text: string): string {
	const result = parseSettings(text, 'n.jsonc', settingsSchema, environment);
	return result.swap().unsafeCoerce().message;
}

function messageWith(changes: Record<string, unknown>): string {
	return messageOf(JSON.stringify({...complete, ...changes}, undefined, '\t'));
}

describe('parseSettings', () => {
	it('fills in defaults and values from the environment, and allows comments', () => {
		const text = `// node\n${JSON.stringify(complete).slice(0, -1)},}`;
		const settings = parseSettings(text, 'n.jsonc', settingsSchema, environment).unsafeCoerce();
		expect(settings.endpoints.password).toEqual('from outside');
		expect(settings.callers.port).toEqual(5432);
		expect(settings.homes.acknowledgement).toEqual('confirmed');
		expect(settings.tuning.groups).toEqual({});
	});

	it('reports all problems at once, each with line and column', () => {
		const text = [
			'{',
			'\t"node": {"name": "n 1", "availabilityZone": 3, "colour": "red"},',
			'\t"callers": {',
			'\t\t"host": "db.example", "port": 70000, "tokenKey": "short",',
			'\t\t"authentication": {"method": "scram", "users": [{"user": "u"}]},',
			'\t},',
			'\t"peers": {"host": "127.0.0.1"},',
			'\t"operators": {"host": "127.0.0.1", "credentials": []},',
			'\t"platform": {"accessKeyId": "a"},',
			'\t"endpoints": {"user": "app", "password": {"fromEnvironment": "ABSENT"}},',
			'\t"tuning": {"homes": {"acknowledgement": 3}},',
			'}',
		].join('\n');
		const lines = messageOf(text).split('\n').map(line => line.replace(/one of [^"].*$/v, 'one of …'));
		expect(lines).toEqual([
			'n.jsonc:2:11: node.name: found "n 1", expected letters, digits, dots, hyphens and underscores, beginning with a letter or digit',
			'n.jsonc:2:26: node.availabilityZone: found 3, expected string',
			'n.jsonc:2:49: node.colour: found an unknown property, expected one of …',
			'n.jsonc:4:3: callers.host: found "db.example", expected an IP address',
			'n.jsonc:4:25: callers.port: found 70000, expected at most 65535',
			'n.jsonc:4:40: callers.tokenKey: found a string that is not shown, expected at least 16 characters',
			'n.jsonc:5:22: callers.authentication.method: found "scram", expected one of "none", "cleartext", "md5"',
			'n.jsonc:8:37: operators.credentials: found a list of 0, expected at least 1 entries',
			'n.jsonc:9:2: platform.secretAccessKey: found nothing, expected both accessKeyId and secretAccessKey, or neither',
			'n.jsonc:10:31: endpoints.password: found environment variable ABSENT, which is not set, expected a variable that is set',
			'n.jsonc:11:23: tuning.homes.acknowledgement: found an unknown property, expected one of …',
		]);
	});

	it('lists the known properties when it finds an unknown one', () => {
		const message = messageWith({node: {...complete.node, zone: 'a'}});
		expect(message).toEqual('n.jsonc:5:3: node.zone: found an unknown property, expected one of name, availabilityZone, region');
	});

	const contradictions: Array<[string, Record<string, unknown>, string]> = [
		['a method without users', {method: 'md5'}, 'authentication.users: found nothing, expected at least one user for the method md5'],
		['a user without a password', {method: 'cleartext', users: [{user: 'u'}]}, 'users[0].password: found nothing, expected a password for the method cleartext'],
		['a user listed twice', {method: 'none', users: [{user: 'u'}, {user: 'u'}]}, 'users[1].user: found "u", expected a user that is not listed before'],
	];
	for (const [name, authentication, ending] of contradictions) {
		it(`reports ${name}`, () => {
			expect(messageWith({callers: {...complete.callers, authentication}}).endsWith(ending)).toEqual(true);
		});
	}

	it('reports that TLS is required but has no certificate and key', () => {
		const message = messageWith({callers: {...complete.callers, isTlsRequired: true}});
		expect(message.endsWith('callers.tls: found nothing, expected a certificate and key, as isTlsRequired is set')).toEqual(true);
	});

	it('does not show secrets in a list', () => {
		const message = messageWith({callers: {...complete.callers, previousTokenKeys: ['too short']}});
		expect(message.endsWith('previousTokenKeys[0]: found a string that is not shown, expected at least 16 characters')).toEqual(true);
	});

	const broken: Array<[string, string, string]> = [
		['syntax errors', '{"node": }', 'n.jsonc:1:10: found "}", expected JSON with comments (ValueExpected)'],
		['an empty file', '', 'n.jsonc:1:1: found the end of the file, expected JSON with comments (ValueExpected)'],
		['a property written twice', '{"a": {"b": 1,\n "b": 2}}', 'n.jsonc:2:2: a.b: found the property a second time, expected it once'],
		['a document that is not an object', '[]', 'n.jsonc:1:1: found a list of 0, expected object'],
	];
	for (const [name, text, message] of broken) {
		it(`reports ${name}`, () => {
			expect(messageOf(text)).toEqual(message);
		});
	}

	it('reports a file that cannot be read', async () => {
		const result = await loadSettings('does-not-exist.jsonc', {});
		expect(result.swap().unsafeCoerce().message.startsWith('does-not-exist.jsonc:1:1: found ENOENT')).toEqual(true);
	});
});
