/**
 * Decodes the rows of endpoints, which mostly only count one more report than before.
 */
import type {EndpointRegistration, RowFormats} from '../services/services.js';

/** Maximum number of rows that are kept decoded; more than a deployment has endpoints. */
const keptRows = 1000;

/**
 * Number of reports after a start that other nodes learn of at once unless the start time is known.
 * Without it a restart shows only by a report number that went down, so a node that learns of reports
 * up to 1.25 s late must already know a higher number than the first ones after a restart.
 */
const firstReports = 8;

type DecodedRow = {readonly rest: string; readonly registration: EndpointRegistration};

/**
 * Remembers the last decoded row of each endpoint. Decoding a row by its schema takes a node that has
 * just started some 0.4 ms, and 18 endpoints report 15 times a second.
 */
export class RegistrationDecoder {
	private readonly _formats: Pick<RowFormats, 'decodeEndpoint' | 'splitReport'>;
	private readonly _decoded = new Map<string, DecodedRow>();

	constructor(formats: Pick<RowFormats, 'decodeEndpoint' | 'splitReport'>) {
		this._formats = formats;
	}

	/** The registration in a row; undefined if the row holds none. */
	decode(key: string, value: string): EndpointRegistration | undefined {
		const report = this._formats.splitReport(value);
		const known = this._decoded.get(key);
		if (report && known?.rest === report.rest) {
			return {...known.registration, reportNumber: report.number};
		}

		const registration = this._formats.decodeEndpoint(key, value);
		// The numbers differ if the row holds the report number twice, in two notations.
		if (report && registration?.reportNumber === report.number) {
			this._keep(key, {rest: report.rest, registration});
		}

		return registration;
	}

	/** Whether a row's changed value only counts one more report of the same process, and no node misses a restart if it learns of it late. */
	isRepeated(key: string, known: string, value: string): boolean {
		const before = this._formats.splitReport(known);
		const after = this._formats.splitReport(value);
		if (!before || before.rest !== after?.rest || before.number >= after.number) {
			return false;
		}

		return before.number >= firstReports || this.decode(key, known)?.startedAtMs !== undefined;
	}

	private _keep(key: string, row: DecodedRow): void {
		if (this._decoded.size >= keptRows) {
			this._decoded.clear();
		}

		this._decoded.set(key, row);
	}
}
