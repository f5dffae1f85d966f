/**
 * Tracks which home may open work connections. The endpoint alone decides this, so no lease and no clock are needed.
 */
import {Emitter, type Event} from '../../src/common/lifecycle/emitter.js';

/** Result of an attach or detach command. */
export type AttachResult = {
	readonly isAccepted: boolean;
	/** Home that is attached after the command; empty for none. */
	readonly holder: string;
};

/** At most one home is attached at a time. Its attachment ends when the control connection that it is bound to ends. */
export class Attachment {
	/** Fires with the name of a home that is no longer attached; its work connections must be closed. */
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

	/** Attaches a home and binds it to a control connection. A home that is attached already may move to another control connection. */
	attach(homeId: string, isForced: boolean, controlConnection: unknown): AttachResult {
		if (homeId === '' || (this._holder !== '' && this._holder !== homeId && !isForced)) {
			return {isAccepted: false, holder: this._holder};
		}

		const previous = this._holder;
		this._holder = homeId;
		this._controlConnection = controlConnection;
		if (previous !== '' && previous !== homeId) {
			this._onRevoked.fire(previous);
		}

		return {isAccepted: true, holder: homeId};
	}

	/** Detaches a home; refused if it is not the attached one. */
	detach(homeId: string): AttachResult {
		if (this._holder === '' || this._holder !== homeId) {
			return {isAccepted: false, holder: this._holder};
		}

		this._release();
		return {isAccepted: true, holder: ''};
	}

	/** Detaches the home that is bound to a control connection, which has ended. */
	unbind(controlConnection: unknown): void {
		if (this._holder !== '' && this._controlConnection === controlConnection) {
			this._release();
		}
	}

	private _release(): void {
		const previous = this._holder;
		this._holder = '';
		this._controlConnection = undefined;
		this._onRevoked.fire(previous);
	}
}
