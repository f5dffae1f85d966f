/**
 * A session whose marks are never looked at: a deliberate breakage.
 */
import {TokenSessionMarks} from '../../src/common/sessions/token-session-marks.js';

/** Has no position to insist on, whatever it was given. */
export class ForgetfulSession extends TokenSessionMarks {
	override get isComplete(): boolean {
		return true;
	}

	override mark(): {term: number; offset: number} {
		return {term: 0, offset: 0};
	}
}
