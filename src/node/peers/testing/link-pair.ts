/**
 * Test fixture: two nodes with a peer link between them over loopback.
 */
import {
	createConnection, createServer, type Server, type Socket,
} from 'node:net';
import type {Either} from 'purify-ts';
import type {Refusal} from '../../../common/errors/error-kinds.js';
import type {
	AnswerSink, HomeEnd, HomeExecutor, HomeRequest, Host, Membership, Metrics, PeerHandlers,
} from '../../../common/services/services.js';
import {RecordingLog} from '../../../common/testing/observers.js';
import {VirtualClock} from '../../../common/testing/virtual-clock.js';
import {PeerLinks} from '../peer-links.js';
import {PeerServer} from '../peer-server.js';
import type {PeerOptions, PeerServices, PeerTls} from '../types.js';

/** Creates a host with default values. */
export function hostNamed(name: string, peerPort = 0, changes: Partial<Host> = {}): Host {
	return {
		name, availabilityZone: 'a', region: 'r', peerHost: '127.0.0.1', peerPort, operatorPort: 0, isLeaving: false, incarnation: '1', ...changes,
	};
}

/** Creates a request with default values. */
export function requestWith(changes: Partial<HomeRequest> = {}): HomeRequest {
	return {
		group: 'stock',
		endpoint: 'stock-1',
		sessionId: 'requester/1/1',
		caller: 'shop',
		frames: new Uint8Array([81, 0, 0, 0, 4]),
		access: 'read',
		step: 'none',
		isInTransaction: false,
		isIdempotent: false,
		minimumPosition: {term: 1, offset: 10},
		isFreshnessProved: false,
		timeLeftMs: 5000,
		priority: 0,
		transactionIdleMs: 1000,
		...changes,
	};
}

/** Creates the end of an answer with default values. */
export function endWith(changes: Partial<HomeEnd> = {}): HomeEnd {
	return {
		transactionStatus: 'idle', position: {term: 1, offset: 11}, isHeld: false, queuedMs: 0, ...changes,
	};
}

/** A request that a `ManualExecutor` runs until the test calls `finish`. */
export type ManualExecution = {
	readonly request: HomeRequest;
	readonly sink: AnswerSink;
	readonly signal: AbortSignal;
	finish(result: Either<Refusal, HomeEnd>): void;
};

/** Executes nothing by itself: the test gets each request from `next` and finishes it. */
export class ManualExecutor implements HomeExecutor {
	readonly released: string[] = [];
	private readonly _running: ManualExecution[] = [];

	async execute(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>> {
		return new Promise(resolve => {
			this._running.push({
				request, sink, signal, finish: resolve,
			});
		});
	}

	release(_group: string, _endpoint: string, sessionId: string): void {
		this.released.push(sessionId);
	}

	/** Waits for the next request and returns it. */
	async next(): Promise<ManualExecution> {
		await waitUntil(() => this._running.length > 0);
		return this._running.shift()!;
	}
}

function ignore(): void {
	// Not checked by these tests.
}

/** Waits until a condition holds, while events are processed; throws if it does not hold in time. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let round = 0; !condition(); round++) {
		if (round > 5000) {
			throw new Error('the condition did not become true within 5000 checks');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
	}
}

/** Relays a TCP port; `silence` makes it drop all data without closing a connection. */
export class TcpRelay {
	port = 0;
	private _isSilent = false;
	private readonly _sockets = new Set<Socket>();
	private readonly _server: Server;

	constructor(targetPort: number) {
		this._server = createServer(incoming => {
			const outgoing = createConnection({host: '127.0.0.1', port: targetPort});
			this._forward(incoming, outgoing);
			this._forward(outgoing, incoming);
		});
	}

	async listen(): Promise<void> {
		await new Promise<void>(resolve => {
			this._server.listen(0, '127.0.0.1', resolve);
		});
		const address = this._server.address();
		this.port = typeof address === 'object' && address ? address.port : 0;
	}

	/** Drops all data from now on. */
	silence(): void {
		this._isSilent = true;
	}

	dispose(): void {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	private _forward(from: Socket, to: Socket): void {
		this._sockets.add(from);
		from.on('data', bytes => {
			if (!this._isSilent) {
				to.write(bytes);
			}
		});
		from.on('close', () => {
			to.destroy();
		});
		from.on('error', () => {
			to.destroy();
		});
	}
}

/** The two nodes `requester` and `home`. */
export class LinkPair {
	readonly clock = new VirtualClock();
	readonly log = new RecordingLog();
	readonly executor = new ManualExecutor();
	/** Names of the peers whose loss was reported to the home. */
	readonly lost: string[] = [];
	/** Announcements and handovers that the home received. */
	readonly announced: unknown[] = [];
	/** Counted metrics, as `name` or `name:value of the first label`. */
	readonly counted: string[] = [];
	/** Reachability reports of the requester about the home. */
	readonly reports: boolean[] = [];
	/** Hosts other than the home that the requester learned of. */
	readonly learned: Host[] = [];
	/** A host that only the home knows. */
	readonly newcomer = hostNamed('newcomer', 7);
	readonly server: PeerServer;
	readonly links: PeerLinks;
	home = hostNamed('home');

	constructor(options: Partial<PeerOptions> = {}, tls?: PeerTls) {
		this.server = new PeerServer(options, tls);
		this.links = new PeerLinks(this.servicesOf(hostNamed('requester')), options, tls);
	}

	/** Starts to listen and to serve links. */
	async start(): Promise<this> {
		const port = await this.server.listen('127.0.0.1', 0);
		this.home = hostNamed('home', port);
		this.server.serve(this.servicesOf(this.home), this._handlers());
		return this;
	}

	/** Runs a request on the home; pushed frames are added to `pushed`. */
	async execute(request: HomeRequest, pushed: Uint8Array[] = [], {signal = new AbortController().signal, host = this.home} = {}): Promise<Either<Refusal, HomeEnd>> {
		const sink = {
			push(frames: Uint8Array) {
				pushed.push(frames);
			},
		};
		return this.links.executorOf(host).execute(request, sink, signal);
	}

	/** Returns the kind of the refusal, or `answered`. */
	async kindOf(result: Promise<Either<Refusal, unknown>>): Promise<string> {
		const settled = await result;
		return settled.isLeft() ? settled.extract().kind : 'answered';
	}

	/** Creates the services of a node of this pair. */
	servicesOf(self: Host): PeerServices {
		const metrics: Metrics = {
			count: (name, labels = {}) => {
				this.counted.push([name, ...Object.values(labels).slice(0, 1)].join(':'));
			},
			gauge: ignore,
			observe: ignore,
		};
		const membership: Membership = {
			self,
			onChange: () => ({dispose: ignore}),
			hosts: () => [self],
			host: name => self.name === 'home' && name === this.newcomer.name ? this.newcomer : undefined,
			homeOf: () => undefined,
			leave: ignore,
			learn: host => {
				if (self.name === 'requester' && host.name !== 'home') {
					this.learned.push(host);
				}
			},
			reportReachability: (_name, isReachable) => {
				this.reports.push(isReachable);
			},
		};
		const invariants: PeerServices['invariants'] = {check: (_name, condition) => condition};
		return {
			clock: this.clock, log: this.log, metrics, invariants, membership,
		};
	}

	dispose(): void {
		this.links.dispose();
		this.server.dispose();
	}

	private _handlers(): PeerHandlers {
		return {
			executor: this.executor,
			groupView: group => ({
				group, term: 3, primary: 'stock-2', instances: [{endpoint: 'stock-2', isReachable: true, reportedAgoMs: 4}],
			}),
			probe: () => ({host: this.home, configurationVersion: 7}),
			changesAfter(afterNumber) {
				if (afterNumber > 100) {
					throw new RangeError('no such number');
				}

				return {version: 9, changes: [`after ${afterNumber}`]};
			},
			handOver: async endpoint => {
				this.announced.push(`handOver ${endpoint}`);
			},
			onPrimaryAnnounced: announcement => {
				this.announced.push(announcement);
			},
			onVersionAnnounced: (from, version) => {
				this.announced.push(`${from} ${version}`);
			},
			onLeavingAnnounced: name => {
				this.announced.push(`${name} leaves`);
			},
			onPeerLost: name => {
				this.lost.push(name);
			},
		};
	}
}
