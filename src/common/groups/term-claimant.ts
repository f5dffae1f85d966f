/**
 * One claim to a term: the commands sent under it, and their results.
 */
import type {InstanceControl, TermClaim} from '../services/services.js';
import type {Candidate} from './candidates.js';
import type {InstanceWatch} from './instance-watch.js';
import {isLeading} from './quorum.js';
import type {GroupOptions} from './types.js';

/**
 * Sends commands under one claim. Commands are idempotent under their claim, so one whose
 * answer was lost is sent again to learn its result.
 */
export class TermClaimant {
	readonly term: number;
	readonly claimId: string;
	/** Instances that promised the term to this claim, by endpoint name, with the state in their answer. */
	readonly accepted = new Map<string, Candidate>();
	private readonly _options: GroupOptions;
	private _refusedTerm = 0;

	constructor(term: number, claimId: string, options: GroupOptions) {
		this.term = term;
		this.claimId = claimId;
		this._options = options;
	}

	/** Highest term that an instance reported as promised to another claim when it refused a command; zero when there is none. */
	get refusedTerm(): number {
		return this._refusedTerm;
	}

	/** Raises the promised term of one instance; true if it accepted, false if it refused or did not answer. */
	async raise(watch: InstanceWatch): Promise<boolean> {
		const answer = await this._sendUntilAnswered(watch, async control => control.raiseTerm(this.term, this.claimId));
		if (answer?.isAccepted) {
			this.accepted.set(watch.name, {endpoint: watch.endpoint, state: answer.state});
		} else if (answer && answer.state.role !== 'rebuilding') {
			this._refusedTerm = Math.max(this._refusedTerm, answer.state.promisedTerm);
		}

		return answer?.isAccepted ?? false;
	}

	/** Promotes one instance; true if it is now known to lead the term under this claim. */
	async promote(watch: InstanceWatch): Promise<boolean> {
		const answer = await this._sendUntilAnswered(watch, async control => control.promote(this.term, this.claimId));
		const state = answer?.state ?? watch.state;
		if (answer?.isAccepted === false) {
			this._refusedTerm = Math.max(this._refusedTerm, answer.state.promisedTerm);
		}

		return state !== undefined && isLeading(state) && state.promisedTerm === this.term && state.claimId === this.claimId;
	}

	private async _sendUntilAnswered(watch: InstanceWatch, send: (control: InstanceControl) => ReturnType<InstanceControl['raiseTerm']>): Promise<TermClaim | undefined> {
		for (let attempt = 0; attempt < this._options.orderAttempts && watch.control; attempt++) {
			const answer = await watch.order(send);
			if (answer) {
				return answer;
			}

			// Perhaps only the connection was lost: retry once it is open again.
			await watch.whenConnected(this._options.orderTimeoutMs);
		}

		return undefined;
	}
}
