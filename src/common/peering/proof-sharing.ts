/**
 * One node asks replicas and primaries for all, and the others ask that node. What it says
 * counts from when the question was sent, less the age that it states: never as newer than it
 * is, whatever the clocks of both say.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {Candidate} from '../membership/rendezvous.js';
import {hashText, highestWeight} from '../membership/rendezvous.js';
import type {GroupPrimacies} from '../primacy/group-primacies.js';
import type {PeerNode} from '../services/services.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

/** What the choice of the asking node is made by. */
const shareName = 'proofs';

/** Asks the node that asks for all, unless that is this node. */
export class ProofSharing implements Disposable {
	private readonly _services: PeeringServices;
	private readonly _directory: PeerDirectory;
	private readonly _primacies: GroupPrimacies;
	private readonly _sleep: WakeableSleep;
	private _isDisposed = false;

	constructor(services: PeeringServices, directory: PeerDirectory, primacies: GroupPrimacies) {
		this._services = services;
		this._directory = directory;
		this._primacies = primacies;
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Whether this node asks for all. */
	get isAsker(): boolean {
		return this._asker().name === this._services.self.name;
	}

	/** Shares until disposed. */
	async run(): Promise<void> {
		const {options} = this._services;
		while (!this._isDisposed) {
			const asker = this._asker();
			if (asker.name !== this._services.self.name) {
				await this._ask(asker);
			}

			await this._sleep.wait(options.shareEveryMs);
		}
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	private async _ask(asker: PeerNode): Promise<void> {
		const {clock, calls, options} = this._services;
		const sentAtMs = clock.nowMs();
		const answer = await calls.overview(asker, '', options.overviewTimeoutMs);
		this._directory.noteAnswer(asker.name, answer.isRight());
		answer.ifRight(overviews => {
			for (const overview of overviews) {
				this._primacies.existing(overview.service)?.noteOverview(overview, sentAtMs);
			}
		});
	}

	/** Large zones share within, so that no node answers for too many. */
	private _asker(): PeerNode {
		const {self, options} = this._services;
		const all = [self, ...this._directory.answering()];
		const near = all.filter(({availabilityZone}) => availabilityZone === self.availabilityZone);
		const candidates: Array<Candidate<PeerNode>> = (near.length >= options.zoneSharingFrom ? near : all)
			.map(node => ({name: node.name, hash: hashText(node.name), value: node}));
		return highestWeight(candidates, shareName) ?? self;
	}
}
