/**
 * A group monitor for tests of homes, whose results a test sets.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../../errors/error-kinds.js';
import {Emitter} from '../../lifecycle/emitter.js';
import type {LogPosition} from '../../positions/log-position.js';
import type {
	Clock, GroupMonitor, GroupView, InstanceControl,
} from '../../services/services.js';
import {pauseFor} from '../../lifecycle/timing.js';
import type {FakeEndpoint} from './fake-endpoint.js';

/** Monitors one fake endpoint as if it were a group. */
export class FakeGroup implements GroupMonitor {
	readonly changes = new Emitter<GroupView>();
	term = 1;
	primary = 'stock-1';
	confirmMs = 1;
	proveMs = 1;
	isConfirming = true;
	isProving = true;
	age: number | undefined = 5;
	/** Age that is reported after a proof, in milliseconds. */
	ageAfterProof: number | undefined = 5;
	confirmations = 0;
	private readonly _clock: Clock;
	private readonly _endpoint: FakeEndpoint;

	constructor(clock: Clock, endpoint: FakeEndpoint) {
		this._clock = clock;
		this._endpoint = endpoint;
	}

	get group(): string {
		return 'stock';
	}

	get onChange() {
		return this.changes.event;
	}

	view(): GroupView {
		return {
			group: this.group, term: this.term, primary: this.primary, instances: [],
		};
	}

	/** Fires a change of the group, such as a new primary or control connection. */
	announce(): void {
		this.changes.fire(this.view());
	}

	async confirm(_position: LogPosition, timeoutMs: number): Promise<Either<Refusal, void>> {
		this.confirmations += 1;
		await pauseFor(this._clock, this.isConfirming ? this.confirmMs : timeoutMs);
		return this.isConfirming ? Right(undefined) : Left(new Refusal('outcomeUnknown'));
	}

	async prove(timeoutMs: number): Promise<Either<Refusal, LogPosition>> {
		await pauseFor(this._clock, this.isProving ? this.proveMs : timeoutMs);
		if (!this.isProving) {
			return Left(new Refusal('noPrimary', 'no majority answers'));
		}

		this.age = this.ageAfterProof;
		return Right({term: this.term, offset: this._endpoint.state.received.offset});
	}

	ageMs(): number | undefined {
		return this.age;
	}

	async orderPromotion(): Promise<Either<Refusal, GroupView>> {
		return Right(this.view());
	}

	control(): InstanceControl | undefined {
		return this._endpoint.control;
	}

	learnPrimary(): void {
		this.announce();
	}
}
