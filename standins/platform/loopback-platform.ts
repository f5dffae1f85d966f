/**
 * The platform stand-in on a free loopback port, for tests of the adapters.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {SystemClock} from '../../src/node/system-clock.js';
import {platformSettingsSchema as adapterSettingsSchema, type PlatformSettings} from '../../src/node/platform/settings.js';
import {PlatformServer} from './server.js';
import {makeInjectedFaults, platformSettingsSchema} from './settings.js';

/** A platform stand-in that a test reaches over HTTP. */
export class LoopbackPlatform implements Disposable {
	readonly server = new PlatformServer(platformSettingsSchema.parse({}), new SystemClock(), new SeededRandom(1));

	/** Starts to listen; resolves to settings for the adapters. */
	async start(changes: Partial<PlatformSettings> = {}): Promise<PlatformSettings> {
		const port = await this.server.listen();
		const url = `http://127.0.0.1:${port}`;
		return adapterSettingsSchema.parse({
			tableEndpoint: url,
			objectsEndpoint: url,
			credentials: {accessKeyId: 'standin', secretAccessKey: 'standin'},
			...changes,
		});
	}

	/** Clears all faults. */
	clearFaults(): void {
		Object.assign(this.server.faults, makeInjectedFaults());
	}

	dispose(): void {
		this.server.dispose();
	}
}
