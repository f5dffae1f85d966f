/**
 * An endpoint that this node reaches over another node.
 */
import type {Either} from 'purify-ts';
import type {AnswerTimes} from '../pools/answer-times.js';
import type {
	BegunTransaction, EndpointStatement, HeldTransaction, StatementFault, StatementPool, TimedAnswer,
} from '../pools/types.js';
import type {
	EndManner, PeerCalls, PeerNode, RegisteredEndpoint,
} from '../services/services.js';

/** Sends statements for one endpoint to one peer. */
export class RemotePool implements StatementPool {
	readonly endpoint: RegisteredEndpoint;
	readonly times: AnswerTimes;
	private readonly _peer: PeerNode;
	private readonly _calls: PeerCalls;
	private _load = 0;

	constructor(endpoint: RegisteredEndpoint, peer: PeerNode, calls: PeerCalls, times: AnswerTimes) {
		this.endpoint = endpoint;
		this.times = times;
		this._peer = peer;
		this._calls = calls;
	}

	/** A peer that does not serve is replaced by another relay. */
	get isAvoided(): boolean {
		return false;
	}

	get load(): number {
		return this._load;
	}

	estimateMs(): number {
		return this.times.averageMs;
	}

	async run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>> {
		return this._counted(async () => this._calls.run(this._peer, this.endpoint.id, statement));
	}

	async begin(statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, BegunTransaction>> {
		const begun = await this._counted(async () => this._calls.begin(this._peer, this.endpoint.id, statement, isReadOnly));
		return begun.map(result => 'heldId' in result ? {held: this._heldTransaction(result.heldId)} : result);
	}

	closeIdle(): void {
		// The connections are the peer's.
	}

	private _heldTransaction(heldId: number): HeldTransaction {
		let isEnded = false;
		const end = async (manner: EndManner): Promise<void> => {
			if (!isEnded) {
				isEnded = true;
				await this._calls.end(this._peer, heldId, manner);
			}
		};

		return {
			run: async statement => this._counted(async () => this._calls.runHeld(this._peer, heldId, statement)),
			release() {
				void end('release');
			},
			rollBack: async () => end('rollBack'),
			close() {
				void end('close');
			},
		};
	}

	private async _counted<T>(work: () => Promise<T>): Promise<T> {
		this._load += 1;
		try {
			return await work();
		} finally {
			this._load -= 1;
		}
	}
}
