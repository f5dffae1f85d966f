/**
 * A reporter for node's test runner: one line for each test that failed in itself, "file: name".
 */
import path from 'node:path';

/** Why a test failed whose own body did not: one inside it did. */
const failedInside = 'subtestsFailed';

export default async function * failedTests(source) {
	for await (const {type, data} of source) {
		if (type === 'test:fail' && data.details.error?.failureType !== failedInside) {
			yield `${path.basename(data.file ?? '').replace(/\.js$/v, '.ts')}: ${data.name}\n`;
		}
	}
}
