/**
 * One node asks replicas and primaries for all, and the others ask that node. What it says
 * counts from when the question was sent, less the age that it states: never as newer than it
 * is, whatever the clocks of both say.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {GroupPrimacies} from '../primacy/group-primacies.js';
import type {PeerNode} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

/** Asks the node that asks for all, unless that is this node. */
export class ProofSharing implements Disposable {
	private readonly _services: PeeringServices;
	private readonly _directory: PeerDirectory;
	private readonly _fleet: Fleet;
	private readonly _primacies: GroupPrimacies;
	private readonly _sleep: WakeableSleep;
	private _question: Promise<void> | undefined;
	private _asksForOthers = false;
	private _renewedAtMs = Number.NEGATIVE_INFINITY;
	private _heardAtMs = Number.NEGATIVE_INFINITY;
	private _isDisposed = false;

	constructor(services: PeeringServices, directory: PeerDirectory, fleet: Fleet, primacies: GroupPrimacies) {
		this._services = services;
		this._directory = directory;
		this._fleet = fleet;
		this._primacies = primacies;
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Time since another node answered this one or asked it, in milliseconds. */
	get heardAgoMs(): number {
		return this._services.clock.nowMs() - this._heardAtMs;
	}

	/** Another node asked this one. */
	noteAsked(): void {
		this._heardAtMs = this._services.clock.nowMs();
	}

	/** Shares until disposed. */
	async run(): Promise<void> {
		const {options} = this._services;
		while (!this._isDisposed) {
			await this.refresh();
			this._noteRole();
			this._renewChecks();
			await this._sleep.wait(options.shareEveryMs);
		}
	}

	/** Asks the asking node now, unless that is this node; all who wait share the question. */
	async refresh(): Promise<void> {
		const asker = this._fleet.asker();
		if (asker.name === this._services.self.name) {
			return;
		}

		this._question ??= this._ask(asker).finally(() => {
			this._question = undefined;
		});
		await this._question;
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	/** A node that begins to ask endpoints for others looks at the groups at once: it was told of them until now. */
	private _noteRole(): void {
		const asksForOthers = this._fleet.isExclusive && this._fleet.isAsker;
		if (asksForOthers && !this._asksForOthers) {
			this._primacies.wake();
		}

		this._asksForOthers = asksForOthers;
	}

	/** A node that starts takes what the store said to the asking node, and asks the store only for changes since. */
	private _renewChecks(): void {
		const {clock, options} = this._services;
		if (this._asksForOthers && clock.nowMs() - this._renewedAtMs >= options.renewChecksMs) {
			this._renewedAtMs = clock.nowMs();
			void this._primacies.checkReplacements();
		}
	}

	private async _ask(asker: PeerNode): Promise<void> {
		const {clock, calls, options} = this._services;
		const sentAtMs = clock.nowMs();
		const answer = await calls.overview(asker, '', options.overviewTimeoutMs);
		this._directory.noteAnswer(asker.name, answer.isRight());
		this._noteRole();
		answer.ifRight(overviews => {
			this._heardAtMs = Math.max(this._heardAtMs, sentAtMs);
			for (const overview of overviews) {
				this._primacies.existing(overview.service)?.noteOverview(overview, sentAtMs, asker.name);
			}
		});
	}
}
