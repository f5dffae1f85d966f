/**
 * A session whose marks are never looked at: a deliberate breakage.
 */
import {MarkedSession} from '../../src/common/sessions/marked-session.js';

/** Has no position to insist on, whatever it was given. */
export class ForgetfulSession extends MarkedSession {
	override get isComplete(): boolean {
		return true;
	}

	override mark(): {term: number; offset: number} {
		return {term: 0, offset: 0};
	}
}
