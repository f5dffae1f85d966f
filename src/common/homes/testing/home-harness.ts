/**
 * Connects the home of one endpoint with fakes for tests.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../errors/error-kinds.js';
import {Emitter} from '../../lifecycle/emitter.js';
import {zeroPosition} from '../../positions/log-position.js';
import type {
	AnswerSink, Configuration, EndpointDefinition, GroupDefinition, HomeEnd, HomeExecutor, HomeRequest, Host,
	InvariantName, Membership, MetricName, Peers,
} from '../../services/services.js';
import {VirtualClock} from '../../testing/virtual-clock.js';
import type {HomeOptions} from '../constants.js';
import {defaultHomeOptions} from '../constants.js';
import {HomeService} from '../home-service.js';
import type {HomeContext} from '../types.js';
import {FakeEndpoint} from './fake-endpoint.js';
import {FakeGroup} from './fake-group.js';
import {query} from './frames.js';

export const endpointName = 'stock-1';

/** A sink that records the frames pushed to it. */
export class RecordedAnswer implements AnswerSink {
	readonly chunks: Uint8Array[] = [];

	push(frames: Uint8Array): void {
		this.chunks.push(frames);
	}
}

/** A home with fakes of everything that it depends on. */
export class HomeHarness {
	readonly clock = new VirtualClock();
	readonly endpoint: FakeEndpoint;
	readonly group: FakeGroup;
	readonly membershipChanges = new Emitter<void>();
	readonly configurationChanges = new Emitter<number>();
	readonly self = hostNamed('node-1');
	readonly other = hostNamed('node-2');
	/** Node that membership reports as the home. */
	homeNode = 'node-1';
	isDraining = false;
	/** Values of counters, by metric name and `kind` label. */
	readonly counts = new Map<string, number>();
	readonly handOvers: string[] = [];
	/** Whether the other node answers probes. */
	isOtherReachable = true;
	/** Whether the other node hands over on request; otherwise the request fails as if it were unreachable. */
	isOtherHandingOver = false;
	readonly definition: EndpointDefinition = {
		name: endpointName, group: 'stock', availabilityZone: 'a', host: '127.0.0.1', port: 5432,
		labels: {}, slots: 3, connections: 20,
	};

	readonly homes: HomeService;

	constructor(options: Partial<HomeOptions> = {}, role: 'primary' | 'replica' = 'primary', holder = '') {
		this.endpoint = new FakeEndpoint(this.clock, role);
		this.group = new FakeGroup(this.clock, this.endpoint);
		this.group.primary = role === 'primary' ? endpointName : 'stock-2';
		this.endpoint.connectNow();
		this.endpoint.holder = holder;
		this.homes = new HomeService({...this._context({...defaultHomeOptions, ...options}), groups: this._groups()});
	}

	/** Waits until the home is attached and its connections are open. */
	async ready(): Promise<this> {
		await this.clock.advance(this.endpoint.connectMs + 1);
		return this;
	}

	request(sql: string, change: Partial<HomeRequest> = {}): HomeRequest {
		const verb = sql.split(' ', 1)[0];
		return {
			group: 'stock', endpoint: endpointName, sessionId: 'node-9/run/1', caller: 'counter', frames: query(sql),
			access: verb === 'SELECT' ? 'read' : 'write', step: steps.get(verb) ?? 'none', isInTransaction: false, isIdempotent: false,
			minimumPosition: zeroPosition, isFreshnessProved: false, timeLeftMs: 1000, priority: 5, transactionIdleMs: 500,
			...change,
		};
	}

	/** Runs one statement; resolves with `ok` or the kind of refusal. */
	async run(sql: string, change: Partial<HomeRequest> = {}): Promise<string> {
		const result = await this.execute(sql, change);
		return result.isLeft() ? result.extract().kind : 'ok';
	}

	async execute(sql: string, change: Partial<HomeRequest> = {}, sink: AnswerSink = new RecordedAnswer()): Promise<Either<Refusal, HomeEnd>> {
		return this.homes.execute(this.request(sql, change), sink, new AbortController().signal);
	}

	/** Runs one statement that must be refused; resolves with the refusal. */
	async refusalOf(sql: string, change: Partial<HomeRequest> = {}): Promise<Refusal> {
		const result = await this.clock.advanceUntil(this.execute(sql, change));
		return result.swap().unsafeCoerce();
	}

	/** Runs one statement that must succeed; resolves with its end. */
	async endOf(sql: string, change: Partial<HomeRequest> = {}): Promise<HomeEnd> {
		const result = await this.clock.advanceUntil(this.execute(sql, change));
		return result.unsafeCoerce();
	}

	/** Runs one statement and advances the clock until it ends; resolves with `ok` or the kind of refusal. */
	async runNow(sql: string, change: Partial<HomeRequest> = {}): Promise<string> {
		return this.clock.advanceUntil(this.run(sql, change));
	}

	private _context(options: HomeOptions): HomeContext {
		const {counts} = this;
		return {
			clock: this.clock,
			random: {next: () => 0.5},
			log: {
				event: ignore,
			},
			metrics: {
				count(name: MetricName, labels) {
					const key = `${name} ${labels?.kind ?? ''}`;
					counts.set(key, (counts.get(key) ?? 0) + 1);
				},
				gauge: ignore,
				observe: ignore,
			},
			connector: this.endpoint,
			membership: this._membership(),
			peers: this._peers(),
			configuration: this._configuration(),
			invariants: {
				check(name: InvariantName, condition: boolean, detail: () => string) {
					if (!condition) {
						throw new Error(`${name}: ${detail()}`);
					}

					return true;
				},
			},
			options,
		};
	}

	private _membership(): Membership {
		const hosts = [this.self, this.other];
		const find = (name: string) => hosts.find(host => host.name === name);
		return {
			self: this.self,
			onChange: this.membershipChanges.event,
			hosts: () => hosts,
			host: find,
			homeOf: () => find(this.homeNode),
			reportReachability: ignore,
			learn: ignore,
			leave: ignore,
		};
	}

	private _configuration(): Configuration {
		const isDraining = () => this.isDraining;
		const group: GroupDefinition = {
			name: 'stock', service: 'sales', labels: {}, endpoints: [this.definition, {...this.definition, name: 'stock-2', availabilityZone: 'b'}],
		};
		return {
			version: 1,
			onChange: this.configurationChanges.event,
			groups: () => [{...group, endpoints: [this.definition]}],
			group: () => group,
			callerPolicy() {
				throw new Error('not used by homes');
			},
			endpointPolicy: () => ({
				isDraining: isDraining(), acceptsReads: true, primaryPreference: 0, isOrderedPrimary: false,
			}),
		};
	}

	private _peers(): Peers {
		const unused = () => {
			throw new Error('not used by homes');
		};

		return {
			executorOf: unused,
			groupView: unused,
			probe: async host => this.isOtherReachable
				? Right({host, configurationVersion: 1})
				: Left(new Refusal('peerUnavailable')),
			announcePrimary: unused,
			fetchChanges: unused,
			announceVersion: unused,
			announceLeaving: unused,
			dispose: unused,
			handOver: async (host, endpoint) => {
				this.handOvers.push(`${host.name} ${endpoint}`);
				if (!this.isOtherHandingOver) {
					return Left(new Refusal('peerUnavailable'));
				}

				this.endpoint.revoke();
				return Right(undefined);
			},
		};
	}

	private _groups() {
		return {
			monitor: () => this.group, existing: () => this.group, dispose: ignore,
		};
	}
}

const steps = new Map<string, HomeRequest['step']>([['BEGIN', 'begin'], ['COMMIT', 'commit'], ['ROLLBACK', 'rollback']]);

function ignore(): void {
	// Nothing to do in tests.
}

function hostNamed(name: string): Host {
	return {
		name, availabilityZone: 'a', region: 'r', peerHost: '127.0.0.1', peerPort: 1, operatorPort: 2, isLeaving: false, incarnation: 'run1',
	};
}
