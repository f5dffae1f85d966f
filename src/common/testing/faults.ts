/**
 * Helpers for assertions on results of the platform.
 */
import type {Either} from 'purify-ts';
import type {PlatformFault} from '../services/services.js';

/** Resolves to the value of a result; rejects if it is a fault. */
export async function valueOf<T>(result: Promise<Either<PlatformFault, T>>): Promise<T> {
	const settled = await result;
	return settled.unsafeCoerce();
}

/** Resolves to `done`, or to the kind of the fault. */
export async function kindOf(result: Promise<Either<PlatformFault, unknown>>): Promise<PlatformFault['kind'] | 'done'> {
	const settled = await result;
	return settled.isLeft() ? settled.extract().kind : 'done';
}
