/**
 * Which nodes keep the usage budgets of organisations, as the division of work and what is known of
 * other nodes say.
 */
import type {Event} from '../lifecycle/emitter.js';
import type {UsageHolders} from '../organisations/usage-limits.js';
import type {PeerNode} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {ProofSharing} from './proof-sharing.js';

type KeeperSources = {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
	/** Undefined until this node shares proofs. */
	readonly sharing: () => ProofSharing | undefined;
	/** Time in milliseconds since another node was heard up to which this one counts as in touch. */
	readonly touchMs: number;
};

/** Knows who keeps budgets. */
export class BudgetKeepers implements UsageHolders {
	readonly onLook: Event<void>;
	private readonly _sources: KeeperSources;

	constructor(sources: KeeperSources) {
		this.onLook = sources.directory.onLook;
		this._sources = sources;
	}

	get hasLooked(): boolean {
		return this._sources.directory.hasLooked;
	}

	get isInTouch(): boolean {
		const {fleet, sharing, touchMs} = this._sources;
		return fleet.isAloneInZone || (sharing()?.heardAgoMs ?? Number.POSITIVE_INFINITY) <= touchMs;
	}

	ranked(organisation: string): readonly PeerNode[] {
		return this._sources.fleet.usageHolders(organisation);
	}

	elsewhere(organisation: string): readonly PeerNode[] {
		return this._sources.fleet.usageHoldersElsewhere(organisation);
	}

	isAnswering(name: string): boolean {
		return this._sources.directory.isAnswering(name);
	}

	noteAnswer(name: string, isAnswered: boolean): void {
		this._sources.directory.noteAnswer(name, isAnswered);
	}
}
