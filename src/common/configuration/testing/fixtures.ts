/**
 * A small sample configuration, and stubs of the services around it, for tests.
 */
import {
	documentSchema, type Change, type ConfigurationDocument, type Operation,
} from '../schema.js';
import {
	diffModels, emptyModel, fromDocument, type ConfigurationModel,
} from '../model.js';
import type {
	Audit, AuditEntry, Log, Metrics,
} from '../../services/services.js';

/** Two groups of three endpoints in three zones. */
export function sampleDocument(): ConfigurationDocument {
	const group = (name: string, port: number) => ({
		name,
		labels: {tier: 'gold'},
		endpoints: ['a', 'b', 'c'].map((zone, index) => ({
			name: `${name}-${zone}`, availabilityZone: `zone-${zone}`, host: `10.0.${index}.1`, port, labels: {disk: zone === 'c' ? 'slow' : 'fast'},
		})),
	});
	return documentSchema.parse({
		services: [{name: 'shop', labels: {team: 'sales'}, groups: [group('stock', 5001), group('orders', 5002)]}],
		callers: [{user: 'web', labels: {kind: 'public'}}, {user: 'till', labels: {kind: 'counter'}}],
	});
}

/** The model of a valid document; throws if it is invalid. */
export function modelOf(document: ConfigurationDocument): ConfigurationModel {
	return fromDocument(document).unsafeCoerce();
}

/** Operations that create the sample configuration from an empty one. */
export function sampleOperations(): readonly Operation[] {
	return diffModels(emptyModel, modelOf(sampleDocument()));
}

/** JSON of the accepted change with a number, which writes one label. */
export function labelChange(number: number): string {
	const change: Change = {
		number,
		changeId: `change-${number}-id`,
		author: 'ann',
		basedOn: number - 1,
		at: '2024-01-01T00:00:00.000Z',
		operations: [{op: 'put', kind: 'service', value: {name: 'shop', labels: {edit: String(number)}}}],
		inverse: [{op: 'remove', kind: 'service', name: 'shop'}],
		acknowledged: [],
	};
	return JSON.stringify(change);
}

const nothing = (): void => undefined;

/** Discards events. */
export const silentLog: Log = {event: nothing};

/** Discards measurements. */
export const silentMetrics: Metrics = {count: nothing, gauge: nothing, observe: nothing};

/** Records audit entries for assertions. */
export class RecordedAudit implements Audit {
	readonly entries: AuditEntry[] = [];

	record(entry: AuditEntry): void {
		this.entries.push(entry);
	}
}
