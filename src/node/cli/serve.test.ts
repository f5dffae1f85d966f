import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Log} from '../../common/services/services.js';
import {settingsSchema} from '../../common/settings/settings-schema.js';
import {serve, type ProcessEvents} from './serve.js';
import type {RunningNode} from './types.js';

const settings = settingsSchema.parse({
	node: {name: 'n1', availabilityZone: 'a'},
	callers: {host: '127.0.0.1', authentication: {method: 'none'}, tokenKey: '0123456789abcdef'},
	peers: {host: '127.0.0.1'},
	operators: {host: '127.0.0.1', credentials: [{user: 'ops', password: 'x'}]},
	platform: {},
	endpoints: {user: 'app', password: ''},
});

class FakeProcess implements ProcessEvents {
	readonly exits: number[] = [];
	private readonly _listeners = new Map<string, (reason: unknown) => void>();

	on(name: string, listener: (reason: unknown) => void): void {
		this._listeners.set(name, listener);
	}

	emit(name: string, reason?: unknown): void {
		this._listeners.get(name)?.(reason);
	}

	exit(code: number): void {
		this.exits.push(code);
	}
}

function build(changes: Partial<RunningNode> = {}) {
	const events = new FakeProcess();
	const output: string[] = [];
	const calls: string[] = [];
	const log: Log = {
		event(name) {
			calls.push(name);
		},
	};
	const node: RunningNode = {
		ports: {callers: 7},
		ready: Promise.resolve(),
		async drain() {
			calls.push('drain');
		},
		dispose() {
			calls.push('dispose');
		},
		...changes,
	};
	const write = (text: string): void => {
		output.push(text);
	};

	return {
		events, output, calls, run: async () => serve(settings, () => node, {events, write, log}),
	};
}

describe('serve', () => {
	it('announces readiness, then drains and disposes on the first signal', async () => {
		const {events, output, calls, run} = build();
		const running = run();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(output).toEqual(['{"ready":true,"node":"n1","ports":{"callers":7}}\n']);
		events.emit('SIGTERM');
		expect(await running).toEqual(0);
		expect(calls).toEqual(['drain', 'dispose']);
	});

	it('ends at once on a second signal while it drains', async () => {
		const {events, run} = build({drain: async () => Promise.race<void>([])});
		void run();
		events.emit('SIGINT');
		expect(events.exits).toEqual([]);
		events.emit('SIGTERM');
		expect(events.exits).toEqual([1]);
	});

	it('drains on a signal that arrives before it is ready', async () => {
		const {events, output, run} = build({ready: Promise.race<void>([])});
		const running = run();
		events.emit('SIGTERM');
		expect(await running).toEqual(0);
		expect(output).toEqual([]);
	});

	it('fails when the node does not start', async () => {
		const {calls, run} = build({ready: Promise.reject(new Error('port is taken'))});
		expect(await run()).toEqual(1);
		expect(calls).toEqual(['uncaughtError', 'dispose']);
	});

	it('ends the process on an uncaught error', () => {
		const {events, calls, run} = build();
		void run();
		events.emit('uncaughtException', new Error('broken'));
		expect(calls.includes('uncaughtError')).toEqual(true);
		expect(events.exits).toEqual([1]);
	});
});
