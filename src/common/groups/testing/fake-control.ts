/**
 * The node's end of a control connection to a fake instance.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {Disposable} from '../../lifecycle/disposable.js';
import {Emitter, type Event} from '../../lifecycle/emitter.js';
import type {
	EndpointAddress, EndpointFault, InstanceControl, InstanceState, TermClaim,
} from '../../services/services.js';
import type {FakeInstance} from './fake-instance.js';
import type {FakeConnection} from './fake-network.js';

const requestTimeoutMs = 1000;

/** The node's end of a control connection to a fake instance. */
export class FakeControl implements InstanceControl {
	readonly connection: FakeConnection;
	private readonly _instance: FakeInstance;
	private readonly _onClose = new Emitter<void>();
	private readonly _onState = new Emitter<InstanceState>();
	private readonly _pending = new Set<(fault: EndpointFault) => void>();
	private _isClosed = false;
	readonly onClose = this._onClose.event; // eslint-disable-line @typescript-eslint/member-ordering -- needs the emitter.
	readonly onState = this._onState.event; // eslint-disable-line @typescript-eslint/member-ordering

	constructor(instance: FakeInstance, connection: FakeConnection) {
		this._instance = instance;
		this.connection = connection;
	}

	handleState(state: InstanceState): void {
		this._onState.fire(state);
	}

	async readState(): Promise<Either<EndpointFault, InstanceState>> {
		return this._request(() => this._instance.state);
	}

	async raiseTerm(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>> {
		return this._request(() => this._instance.raiseTerm(term, claimId));
	}

	async promote(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>> {
		return this._request(() => this._instance.promote(term, claimId));
	}

	async follow(term: number, primary: EndpointAddress): Promise<Either<EndpointFault, TermClaim>> {
		return this._request(() => this._instance.follow(term, this._instance.group.instances.find(({name}) => name === primary.name)!));
	}

	async attach(homeId: string): Promise<Either<EndpointFault, {isAttached: boolean; holder: string}>> {
		return this._request(() => ({isAttached: true, holder: homeId}));
	}

	async detach(): Promise<Either<EndpointFault, void>> {
		return this._request(() => undefined);
	}

	dispose(): void {
		if (this._isClosed) {
			return;
		}

		this._isClosed = true;
		this._instance.removeControl(this);
		this.connection.close();
		for (const fail of this._pending) {
			fail({mayHaveReached: true, detail: 'connection lost'});
		}

		this._onClose.fire();
	}

	private async _request<T>(run: () => T): Promise<Either<EndpointFault, T>> {
		if (this._isClosed) {
			return Left({mayHaveReached: false, detail: 'closed'});
		}

		return new Promise(resolve => {
			const settle = (answer: Either<EndpointFault, T>): void => {
				timer.dispose();
				this._pending.delete(fail);
				resolve(answer);
			};

			const fail = (fault: EndpointFault): void => {
				settle(Left(fault));
			};

			const timer: Disposable = this.connection.a.setTimer(requestTimeoutMs, () => {
				fail({mayHaveReached: true, detail: 'no answer'});
			});
			this._pending.add(fail);
			this.connection.sendToB(() => {
				this._execute(run, settle);
			});
		});
	}

	private _execute<T>(run: () => T, settle: (answer: Either<EndpointFault, T>) => void): void {
		if (this.connection.b.isDead) {
			return;
		}

		const result = run();
		if (this._instance.answersToLose > 0 && typeof result === 'object' && result && 'isAccepted' in result) {
			this._instance.answersToLose--;
			this._instance.breakControl(this);
			return;
		}

		this.connection.sendToA(() => {
			settle(Right(result));
		});
	}
}
