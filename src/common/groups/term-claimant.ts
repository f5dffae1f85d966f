/**
 * One claim to a term: the orders given under it, and what they found.
 */
import type {InstanceControl, TermClaim} from '../services/services.js';
import type {Candidate} from './candidates.js';
import type {InstanceWatch} from './instance-watch.js';
import {isLeading} from './quorum.js';
import type {GroupOptions} from './types.js';

/**
 * Gives orders under one claim. Every order may be repeated under its claim, so that one
 * whose answer was lost is repeated to find out what became of it.
 */
export class TermClaimant {
	readonly term: number;
	readonly claimId: string;
	/** Instances that promised the term to this claim, with the state that they answered. */
	readonly accepted = new Map<string, Candidate>();
	private readonly _options: GroupOptions;
	private _refusedTerm = 0;

	constructor(term: number, claimId: string, options: GroupOptions) {
		this.term = term;
		this.claimId = claimId;
		this._options = options;
	}

	/** Highest term of which an instance said that it is promised to another claim; zero for none. */
	get refusedTerm(): number {
		return this._refusedTerm;
	}

	/** Raises the promised term of one instance. */
	async raise(watch: InstanceWatch): Promise<boolean> {
		const answer = await this._sendUntilAnswered(watch, async control => control.raiseTerm(this.term, this.claimId));
		if (answer?.isAccepted) {
			this.accepted.set(watch.name, {endpoint: watch.endpoint, state: answer.state});
		} else if (answer && answer.state.role !== 'rebuilding') {
			this._refusedTerm = Math.max(this._refusedTerm, answer.state.promisedTerm);
		}

		return answer?.isAccepted ?? false;
	}

	/** Makes one instance primary; whether it is known to lead the term now. */
	async promote(watch: InstanceWatch): Promise<boolean> {
		const answer = await this._sendUntilAnswered(watch, async control => control.promote(this.term, this.claimId));
		const state = answer?.state ?? watch.state;
		if (answer?.isAccepted === false) {
			this._refusedTerm = Math.max(this._refusedTerm, answer.state.promisedTerm);
		}

		return state !== undefined && isLeading(state) && state.promisedTerm === this.term && state.claimId === this.claimId;
	}

	private async _sendUntilAnswered(watch: InstanceWatch, give: (control: InstanceControl) => ReturnType<InstanceControl['raiseTerm']>): Promise<TermClaim | undefined> {
		for (let attempt = 0; attempt < this._options.orderAttempts && watch.control; attempt++) {
			const answer = await watch.order(give);
			if (answer) {
				return answer;
			}

			// The connection may be the only thing that was lost.
			await watch.whenConnected(this._options.orderTimeoutMs);
		}

		return undefined;
	}
}
