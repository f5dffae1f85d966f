/**
 * Hosts and a host list for tests.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {Host, HostList, PlatformFault} from '../../services/services.js';

/** A host for tests, with defaults for what `changes` does not set. */
export function listedHost(name: string, changes: Partial<Host> = {}): Host {
	return {
		name,
		availabilityZone: 'a',
		region: 'r',
		peerHost: '127.0.0.1',
		peerPort: 7000,
		operatorPort: 8000,
		isLeaving: false,
		incarnation: '1',
		...changes,
	};
}

/** A host list whose answers a test sets. */
export class FakeHostList implements HostList {
	/** The hosts that reads return. */
	listed: readonly Host[] = [];
	/** With `down` calls fail at once, with `hanging` they never answer. */
	condition: 'up' | 'down' | 'hanging' = 'up';
	readonly registered: Host[] = [];
	reads = 0;

	async read(): Promise<Either<PlatformFault, readonly Host[]>> {
		this.reads++;
		return this._answer(this.listed);
	}

	async register(host: Host): Promise<Either<PlatformFault, void>> {
		const answer = await this._answer<void>(undefined);
		return answer.ifRight(() => {
			this.registered.push(host);
		});
	}

	private async _answer<T>(value: T): Promise<Either<PlatformFault, T>> {
		if (this.condition === 'hanging') {
			return Promise.race<never>([]);
		}

		return this.condition === 'up' ? Right(value) : Left({kind: 'unavailable', detail: 'down'});
	}
}
