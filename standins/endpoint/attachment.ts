/**
 * Which home may open work connections. The endpoint is the arbiter, so no clock matters.
 */
import {Emitter, type Event} from '../../src/common/lifecycle/emitter.js';

/** Answer to an attach or detach order. */
export type AttachAnswer = {
	readonly isAccepted: boolean;
	/** Home that is attached after the order; empty for none. */
	readonly holder: string;
};

/** At most one home is attached; the claim ends with the control connection it came on. */
export class Attachment {
	/** A home is no longer attached: its work connections must be closed. */
	readonly onRevoked: Event<string>;
	private _holder = '';
	private _controlConnection: unknown;
	private readonly _onRevoked = new Emitter<string>();

	constructor() {
		this.onRevoked = this._onRevoked.event;
	}

	/** Home that is attached; empty for none. */
	get holder(): string {
		return this._holder;
	}

	/** Binds a home to a control connection. The same home may move to a new one. */
	attach(homeId: string, isForced: boolean, controlConnection: unknown): AttachAnswer {
		if (homeId === '' || (this._holder !== '' && this._holder !== homeId && !isForced)) {
			return {isAccepted: false, holder: this._holder};
		}

		const former = this._holder;
		this._holder = homeId;
		this._controlConnection = controlConnection;
		if (former !== '' && former !== homeId) {
			this._onRevoked.fire(former);
		}

		return {isAccepted: true, holder: homeId};
	}

	/** Gives a home's claim up. */
	detach(homeId: string): AttachAnswer {
		if (this._holder === '' || this._holder !== homeId) {
			return {isAccepted: false, holder: this._holder};
		}

		this._release();
		return {isAccepted: true, holder: ''};
	}

	/** A control connection ended. */
	unbind(controlConnection: unknown): void {
		if (this._holder !== '' && this._controlConnection === controlConnection) {
			this._release();
		}
	}

	private _release(): void {
		const former = this._holder;
		this._holder = '';
		this._controlConnection = undefined;
		this._onRevoked.fire(former);
	}
}
