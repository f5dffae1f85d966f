/**
 * Short forms for asserting on results of the platform.
 */
import type {Either} from 'purify-ts';
import type {PlatformFault} from '../services/services.js';

/** What a result holds; rejects when it is a fault. */
export async function valueOf<T>(result: Promise<Either<PlatformFault, T>>): Promise<T> {
	const settled = await result;
	return settled.unsafeCoerce();
}

/** `done`, or the kind of the fault. */
export async function kindOf(result: Promise<Either<PlatformFault, unknown>>): Promise<PlatformFault['kind'] | 'done'> {
	const settled = await result;
	return settled.isLeft() ? settled.extract().kind : 'done';
}
