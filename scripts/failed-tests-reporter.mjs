/**
 * A reporter for node's test runner: prints a line "file: name" for each test that failed by itself, not just through a subtest.
 */
import path from 'node:path';

/** Failure type of a test whose own body passed and one of whose subtests failed. */
const subtestFailure = 'subtestsFailed';

export default async function * failedTests(source) {
	for await (const {type, data} of source) {
		if (type === 'test:fail' && data.details.error?.failureType !== subtestFailure) {
			yield `${path.basename(data.file ?? '').replace(/\.js$/v, '.ts')}: ${data.name}\n`;
		}
	}
}
