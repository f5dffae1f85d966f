/**
 * Session marks that ignore the token: a deliberate breakage.
 */
import {TokenSessionMarks} from '../../src/common/sessions/token-session-marks.js';

/** Requires no minimum position, whatever token it was given. */
export class TokenIgnoringMarks extends TokenSessionMarks {
	override get isComplete(): boolean {
		return true;
	}

	override mark(): {term: number; offset: number} {
		return {term: 0, offset: 0};
	}
}
