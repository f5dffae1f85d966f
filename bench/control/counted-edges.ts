/**
 * In-memory services of a node's core: endpoints that only report their state, peers that only
 * answer, and a table. They count messages and bytes as these would be on the wire.
 */
/* eslint-disable @typescript-eslint/naming-convention -- names of the service's API. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../src/common/errors/error-kinds.js';
import {toDisposable, type Disposable} from '../../src/common/lifecycle/disposable.js';
import {Emitter} from '../../src/common/lifecycle/emitter.js';
import type {
	ChangeBatch, EndpointAddress, EndpointConnector, EndpointFault, Host, HomeExecutor, InstanceControl, InstanceState, Peers,
	PlatformFault, Table, TableItem, TermClaim,
} from '../../src/common/services/services.js';
import {Batch, type Envelope} from '../../src/node/peers/generated/quetzalstream/peer.js';
import {formatState} from '../../standins/endpoint/wire/control-commands.js';
import {reportedParameters} from '../../standins/endpoint/constants.js';
import {controlSizes, linkOverheadBytes} from './constants.js';
import type {Traffic} from './types.js';

type Body = Envelope['body'];

/** Traffic with all counts at zero. */
export function noTraffic(): Traffic {
	return {
		stateReports: 0, stateReportBytes: 0, peerMessages: 0, peerBytes: 0, platformReads: 0, platformReadBytes: 0, platformWrites: 0,
	};
}

/** A control connection to an instance that reports its state as a heartbeat and does nothing else. */
class ReportingControl implements InstanceControl {
	private readonly _onClose = new Emitter<void>();
	private readonly _onState = new Emitter<InstanceState>();
	private readonly _heartbeat: Disposable;
	readonly onClose = this._onClose.event; // eslint-disable-line @typescript-eslint/member-ordering -- needs the emitter.
	readonly onState = this._onState.event; // eslint-disable-line @typescript-eslint/member-ordering

	constructor(private readonly _state: InstanceState, traffic: Traffic) {
		// A ParameterStatus message: type, length, and the parameter's name and value, each with a terminating zero byte.
		const sizeBytes = 1 + 4 + reportedParameters.state.length + 1 + formatState(_state).length + 1;
		const timer = setInterval(() => {
			traffic.stateReports += 1;
			traffic.stateReportBytes += sizeBytes;
			this._onState.fire(_state);
		}, controlSizes.heartbeatMs);
		this._heartbeat = toDisposable(() => {
			clearInterval(timer);
		});
	}

	async readState(): Promise<Either<EndpointFault, InstanceState>> {
		return Right(this._state);
	}

	async raiseTerm(): Promise<Either<EndpointFault, TermClaim>> {
		return Right({isAccepted: false, state: this._state});
	}

	async promote(): Promise<Either<EndpointFault, TermClaim>> {
		return Right({isAccepted: false, state: this._state});
	}

	async follow(): Promise<Either<EndpointFault, TermClaim>> {
		return Right({isAccepted: false, state: this._state});
	}

	async attach(holder: string): Promise<Either<EndpointFault, {isAttached: boolean; holder: string}>> {
		return Right({isAttached: true, holder});
	}

	async detach(): Promise<Either<EndpointFault, void>> {
		return Right(undefined);
	}

	dispose(): void {
		this._heartbeat.dispose();
	}
}

/** Connects to endpoints that run no statements; the first endpoint of each group is its primary. */
export class ReportingConnector implements EndpointConnector {
	controlCount = 0;
	private readonly _traffic: Traffic;

	constructor(traffic: Traffic) {
		this._traffic = traffic;
	}

	async connectWork(): Promise<Either<EndpointFault, never>> {
		return Left({mayHaveReached: false, detail: 'no work here'});
	}

	async connectControl(endpoint: EndpointAddress): Promise<Either<EndpointFault, InstanceControl>> {
		this.controlCount += 1;
		const position = {term: 1, offset: 1_000_000};
		return Right(new ReportingControl({
			role: endpoint.name.endsWith('-0') ? 'primary' : 'replica', promisedTerm: 1, claimId: '', received: position, applied: position, isStreaming: true,
		}, this._traffic));
	}
}

/** Peers that have the same configuration version as this node; counts what is sent to and received from them. */
export class CountingPeers implements Peers {
	/** Configuration version that the peers answer with. */
	version = 0;
	private readonly _traffic: Traffic;

	constructor(traffic: Traffic) {
		this._traffic = traffic;
	}

	executorOf(): HomeExecutor {
		return {
			async execute() {
				return Left(new Refusal('peerUnavailable', 'no work here'));
			},
			release() {
				// No statements run here.
			},
		};
	}

	async groupView() {
		return Left(new Refusal('peerUnavailable', 'not asked here'));
	}

	async probe(host: Host) {
		this._count({$case: 'probe', value: {}});
		return Right({host, configurationVersion: this.version});
	}

	announcePrimary(): void {
		// Nothing is promoted.
	}

	async fetchChanges(_host: Host, afterNumber: number): Promise<Either<Refusal, ChangeBatch>> {
		this._count({$case: 'changesAsk', value: {afterNumber}});
		this._count({$case: 'changesAnswer', value: {version: this.version, changes: []}});
		return Right({version: this.version, changes: []});
	}

	announceVersion(_host: Host, version: number): void {
		this._count({$case: 'versionAnnounced', value: {version}});
	}

	async handOver(): Promise<Either<Refusal, void>> {
		return Right(undefined);
	}

	announceLeaving(): void {
		// The node does not leave here.
	}

	dispose(): void {
		// There are no links to close.
	}

	private _count(body: Body): void {
		this._traffic.peerMessages += 1;
		this._traffic.peerBytes += Batch.encode({envelopes: [{requestId: 1000, body}]}).finish().length + linkOverheadBytes;
	}
}

/** A table that counts requests, and the bytes of responses as the service's API encodes them. */
export class CountingTable implements Table {
	private readonly _table: Table;
	private readonly _traffic: Traffic;

	constructor(table: Table, traffic: Traffic) {
		this._table = table;
		this._traffic = traffic;
	}

	async get(partition: string, sort: string): Promise<Either<PlatformFault, TableItem | undefined>> {
		const item = await this._table.get(partition, sort);
		return item.ifRight(found => {
			this._countRead(found ? [found] : []);
		});
	}

	async query(partition: string, afterSort: string, limit: number): Promise<Either<PlatformFault, readonly TableItem[]>> {
		const items = await this._table.query(partition, afterSort, limit);
		return items.ifRight(found => {
			this._countRead(found);
		});
	}

	async put(item: Omit<TableItem, 'revision'>, expectedRevision: number): Promise<Either<PlatformFault, TableItem>> {
		this._traffic.platformWrites += 1;
		return this._table.put(item, expectedRevision);
	}

	async putAll(items: ReadonlyArray<{readonly item: Omit<TableItem, 'revision'>; readonly expectedRevision: number}>): Promise<Either<PlatformFault, void>> {
		this._traffic.platformWrites += items.length;
		return this._table.putAll(items);
	}

	private _countRead(items: readonly TableItem[]): void {
		this._traffic.platformReads += 1;
		this._traffic.platformReadBytes += responseBytes(items);
	}
}

function responseBytes(items: readonly TableItem[]): number {
	const written = items.map(({partition, sort, revision, changeId, body, expiresAtMs}) => ({
		partition: {S: partition},
		sort: {S: sort},
		revision: {N: String(revision)},
		changeId: {S: changeId},
		body: {S: body},
		...(expiresAtMs !== undefined && {expiresAt: {N: String(Math.ceil(expiresAtMs / 1000))}}),
	}));
	return Buffer.byteLength(JSON.stringify({Items: written, Count: items.length, ScannedCount: items.length}));
}
