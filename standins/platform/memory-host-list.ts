/**
 * The platform's host list in memory. Changes become visible after a lag, and hosts that do not
 * renew their registration are no longer listed.
 */
import {Right, type Either} from 'purify-ts';
import type {
	Clock, Host, HostList, PlatformFault,
} from '../../src/common/services/services.js';
import {registrationExpiryMs} from './constants.js';
import type {FaultInjector} from './fault-injector.js';
import {LaggedValues} from './lagged-values.js';
import type {InjectedFaults} from './settings.js';

const maximumLagMs = 10 * 60_000;

/** Registrations that the clients of one host list share. */
export type HostRegistrations = LaggedValues<Host>;

/** Creates an empty host list. */
export function createHostRegistrations(): HostRegistrations {
	return new LaggedValues(maximumLagMs);
}

/** One client's view of a host list. */
export class MemoryHostList implements HostList {
	private readonly _clock: Clock;
	private readonly _faultInjector: FaultInjector;
	private readonly _faults: InjectedFaults;
	private readonly _registrations: HostRegistrations;

	constructor(clock: Clock, faultInjector: FaultInjector, faults: InjectedFaults, registrations = createHostRegistrations()) {
		this._clock = clock;
		this._faultInjector = faultInjector;
		this._faults = faults;
		this._registrations = registrations;
	}

	async read(): Promise<Either<PlatformFault, readonly Host[]>> {
		return this._faultInjector.run('read', () => Right(this._visible()));
	}

	async register(host: Host): Promise<Either<PlatformFault, void>> {
		return this._faultInjector.run('write', () => {
			this._registrations.write(host.name, host, this._clock.nowMs());
			return Right(undefined);
		});
	}

	private _visible(): Host[] {
		const timeMs = this._clock.nowMs() - this._faults.hostListLagMs;
		const changes = [...this._registrations.readAt(timeMs).values()];
		return changes
			.filter(({atMs}) => timeMs - atMs < registrationExpiryMs)
			.map(({value}) => value);
	}
}
