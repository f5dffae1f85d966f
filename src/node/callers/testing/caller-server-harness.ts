/** Starts caller servers for tests and stops everything that a test started. */
import pg from 'pg';
import {toDisposable} from '../../../common/lifecycle/disposable.js';
import type {Clock, Configuration, LogEventName} from '../../../common/services/services.js';
import {CallerServer} from '../caller-server.js';
import {HmacTokenSigner} from '../token-signer.js';
import type {CallerOptions} from '../types.js';
import {FakeRouter} from './fake-router.js';
import {RawCaller} from './raw-caller.js';

const clock: Clock = {
	nowMs: () => performance.now(),
	wallClockMs: () => Date.now(),
	setTimer(delayMs, callback) {
		const timer = setTimeout(callback, delayMs);
		return toDisposable(() => {
			clearTimeout(timer);
		});
	},
};

function unexpectedCall(): never {
	throw new Error('unexpected call: the test configuration has no policies');
}

const group = {
	name: 'stock', service: 'stock', labels: {}, endpoints: [],
};
const configuration: Configuration = {
	version: 1,
	onChange: () => toDisposable(() => undefined),
	groups: () => [group],
	group: name => name === group.name ? group : undefined,
	callerPolicy: unexpectedCall,
	endpointPolicy: unexpectedCall,
};

/** One server with its router, and the callers of one test. */
export class CallerServerHarness {
	readonly router = new FakeRouter();
	readonly events: LogEventName[] = [];
	readonly server: CallerServer;
	port = 0;
	private readonly _raw: RawCaller[] = [];
	private readonly _clients: pg.Client[] = [];

	constructor(options: Partial<CallerOptions> = {}) {
		this.server = new CallerServer({
			router: this.router,
			configuration,
			clock,
			log: {event: this._recordEvent.bind(this)},
			metrics: {count: () => undefined, gauge: () => undefined, observe: () => undefined},
			signer: new HmacTokenSigner('shared key'),
			node: {name: 'n1', incarnation: 'i1', availabilityZone: 'a'},
			options,
		});
	}

	async start(): Promise<this> {
		this.port = await this.server.listen('127.0.0.1', 0);
		return this;
	}

	/** A caller that has sent nothing. */
	connectRaw(): RawCaller {
		const caller = new RawCaller(this.port);
		this._raw.push(caller);
		return caller;
	}

	/** A caller with a session. */
	async startRaw(parameters: Readonly<Record<string, string>> = {}): Promise<RawCaller> {
		return this.connectRaw().start(parameters);
	}

	/** A caller through the driver. */
	async connect(config: pg.ClientConfig = {}): Promise<pg.Client> {
		const client = new pg.Client({
			host: '127.0.0.1', port: this.port, user: 'app', database: 'stock', ...config,
		});
		client.on('error', () => undefined);
		await client.connect();
		this._clients.push(client);
		return client;
	}

	async stop(): Promise<void> {
		await Promise.all(this._clients.map(async client => client.end()));
		for (const {socket} of this._raw) {
			socket.destroy();
		}

		this.server.dispose();
	}

	private _recordEvent(name: LogEventName): void {
		this.events.push(name);
	}
}
